// Package summer keeps named sums over all routers: each router publishes its own values, and receives the totals with
// an age.
package summer
