//go:build debug

package invariant

func fail(what string) { panic("invariant broken: " + what) }
