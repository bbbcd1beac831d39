// Package applier is the replicated state machine: bundles, keys, service state, endpoints, claims, poison verdicts
// and the audit log. The state changes only by commands applied in log order.
package applier
