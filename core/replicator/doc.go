// Package replicator implements the Raft consensus of a control group as a deterministic state machine without I/O:
// each step takes the time and inputs, and returns what to store, to send and to apply.
package replicator
