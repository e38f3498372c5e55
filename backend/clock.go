//go:build !powerloss

package backend

// clockWrong is by how much the time of day is wrong: rigs set it, in builds of their own.
const clockWrong = 0
