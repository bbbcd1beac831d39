// Package requester is an HTTP client of the administration API of the control instances. It fails over between their
// addresses and reads the state back to find the outcome of a write whose response was lost.
package requester
