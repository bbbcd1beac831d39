// Command node runs a node of a fleet without agents, with the native HTTP interface of the project.
package main
