// Package registrar keeps the table of registered endpoints. Instances that exchange their records converge to the same
// table in any order of merges: the latest start of an endpoint wins, then the highest sequence number.
package registrar
