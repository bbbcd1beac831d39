// Package planner holds the routing plan of an open fleet: routes, services and workspaces, checked and indexed.
package planner
