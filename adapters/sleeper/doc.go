// Package sleeper sleeps with cancellation by a context.
package sleeper
