// Package detector decides from heartbeats when a connection has failed, and from failures which peers are lost and
// which endpoints are flapping.
package detector
