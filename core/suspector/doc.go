// Package suspector weighs what several routers have seen of an endpoint: connects that failed, and responses since.
package suspector
