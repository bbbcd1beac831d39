// Package clockwatcher detects suspensions of the machine, pauses of the process and steps of the wall clock.
package clockwatcher
