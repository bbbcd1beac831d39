// Package viewer defines views: immutable snapshots of the part of the replicated state that routers and agents need,
// which advance by deltas.
package viewer
