// Package pauser sleeps with cancellation by a context.
package pauser
