// Package fleetapplier implements the replicated state machine of a fleet without agents, which holds the newest plan
// and the failure domains that are out of service. It does not decode plans.
package fleetapplier
