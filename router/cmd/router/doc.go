// Command router accepts callers' requests and routes them to endpoints.
package main
