//go:build debug

package invariant

// Debug reports whether this is a debug build. Expensive checks are made only there.
const Debug = true

func fail(what string) { panic("invariant broken: " + what) }
