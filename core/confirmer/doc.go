// Package confirmer decides for what a process may use its replicated state, by how long ago a quorum is known to have
// confirmed it.
package confirmer
