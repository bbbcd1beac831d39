// Package control implements a control instance, which replicates the state of the fleet and serves it to routers,
// agents and operators.
package control
