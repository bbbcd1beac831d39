// Command node runs a node of an open fleet with the project's own interface.
package main
