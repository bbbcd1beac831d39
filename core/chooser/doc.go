// Package chooser picks the endpoint of a request at a router that sends straight to endpoints, from what the endpoints
// said of themselves and what this router saw of them.
package chooser
