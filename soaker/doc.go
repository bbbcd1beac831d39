// Package soaker runs soak tests: it starts a fleet of node processes on one machine, injects faults into their
// processes, connections and disks, and checks what callers and endpoints observe.
package soaker
