// Package logreader reads the events of processes from what they have logged.
package logreader
