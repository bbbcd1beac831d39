// Package server runs an HTTP server and shuts it down gracefully.
package server
