// Package devfleet runs a small fleet in one process, on loopback, for development and tests.
package devfleet
