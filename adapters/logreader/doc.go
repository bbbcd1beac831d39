// Package logreader parses the logfmt log lines of processes into timeline events.
package logreader
