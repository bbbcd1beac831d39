// Command node runs a node of an open fleet with the native HTTP interface of the project.
package main
