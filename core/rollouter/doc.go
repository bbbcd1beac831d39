// Package rollouter decides how the requests of a service move to another software version of its endpoints: the state
// machine of a rollout, the share of requests that a router may send to the target version, and the judgement of that
// version from counted answers.
//
// Change and Apply are the replicated state machine. A Gate belongs to one router: it admits endpoints by their version
// and counts answers. A Driver belongs to one control instance; it turns the sums of all routers into the next Change.
package rollouter
