// Package retrier decides what a router does after an attempt: fail over to the next candidate, retry, resume the
// response, or stop with an error. A request that may have run is retried only if it is repeatable.
package retrier
