// Package measurer runs the programs as fleets of the sizes of the two user firms, injects failures, and measures how
// requests are served.
package measurer
