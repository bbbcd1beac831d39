// Package caller is a client of the fleet: it sends chat requests and operations to routers, retries without delay,
// and compares the full text of every chat response with the expected one.
package caller
