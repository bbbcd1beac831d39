// Package spiller decides which share of the requests of a failure domain goes to endpoints of other failure domains.
package spiller
