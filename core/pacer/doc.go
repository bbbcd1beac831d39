// Package pacer estimates how long work takes at an endpoint relative to its usual time and to its peers, from what the
// endpoint states and from the measured times of its responses.
package pacer
