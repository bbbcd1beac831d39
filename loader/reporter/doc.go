// Package reporter collects measured values with their bounds and writes them as JSON lines.
package reporter
