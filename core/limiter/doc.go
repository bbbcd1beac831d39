// Package limiter implements admission control for one endpoint: load bound, adaptive concurrency limit with slow
// start, priority classes and fair queueing across workspaces.
package limiter
