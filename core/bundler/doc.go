// Package bundler defines the configuration bundle that operators sign and roll out, and parses, validates and
// compares bundles.
package bundler
