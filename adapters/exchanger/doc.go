// Package exchanger carries the state of an open fleet from control instances to every process: the plan, the failure
// domains that are taken out, and the endpoints. Processes find the control instances through each other.
package exchanger
