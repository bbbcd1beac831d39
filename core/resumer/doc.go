// Package resumer keeps which software version of which service began each recent stream, so that it is resumed at the
// same one.
package resumer
