// Package fleetapplier implements the replicated state machine of a fleet without agents, which holds the newest plan,
// the failure domains that are out of service, and the latest departures of endpoints. It does not decode plans.
package fleetapplier
