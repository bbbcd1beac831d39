// Package allocator divides fleet-wide limits, such as the in-flight requests of a workspace, into leased shares whose
// sum never exceeds the limit.
package allocator
