// Package fleetapplier is the replicated state of an open fleet: the newest plan and the failure domains that are taken
// out. It is applied from the consensus log and knows nothing of the plan's format.
package fleetapplier
