// Package queuer orders the requests that wait for a slot of a small service, and forecasts when one of them is served.
package queuer
