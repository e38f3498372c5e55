//go:build debug

package invariant

// Debug reports whether this is a debug build, which has the tag debug. Callers make expensive checks only if it is
// true.
const Debug = true

func fail(condition string) { panic("invariant broken: " + condition) }
