// Package node implements a process of a fleet without agents. It forwards requests directly to endpoints that register
// themselves by heartbeats and, on an instance with a disk, is a member of the control group.
package node
