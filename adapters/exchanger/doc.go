// Package exchanger distributes the state of a fleet from control instances to all processes: the plan, the failure
// domains that are out of service, the endpoints and their requests in flight. Processes discover the control instances
// by exchanging contacts.
package exchanger
