// Package launcher runs server programs: command line, settings file, signals and exit codes.
package launcher
