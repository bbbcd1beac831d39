// Package pauser waits for a time that a context may cut short.
package pauser
