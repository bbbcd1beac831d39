// Package sharer divides the capacity of a service among workspaces: max-min fair by need and weight, and by priority
// within a workspace.
package sharer
