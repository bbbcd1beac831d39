// Package fleetapplier implements the replicated state machine of an open fleet, which holds the newest plan and the
// failure domains that are out of service. It does not decode plans.
package fleetapplier
