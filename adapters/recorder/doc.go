// Package recorder stores the latest events of a process in a ring buffer and serves them over HTTP. Their logical
// timestamps allow merging the timelines of several processes in causal order.
package recorder
