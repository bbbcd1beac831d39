// Package planchecker finds entries of a plan that can't have an effect, and what differs from another plan.
package planchecker
