// Package planner parses, validates and indexes the routing plan of a fleet: its routes, services and workspaces.
package planner
