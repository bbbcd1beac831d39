// Command devfleet runs a small fleet in one process for development.
package main
