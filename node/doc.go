// Package node is one process of an open fleet: it routes requests straight to endpoints that registered themselves,
// and on an instance with a disk it is also a member of the control group.
package node
