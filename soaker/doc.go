// Package soaker runs the real node program as separate processes on one machine, injects faults from outside them,
// and checks what callers and endpoints see.
package soaker
