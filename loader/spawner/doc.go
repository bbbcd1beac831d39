// Package spawner starts the programs of a fleet as local processes and injects failures with signals.
package spawner
