// Package observer provides the logger, the metrics registry and the event timeline of a process.
package observer
