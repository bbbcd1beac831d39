// Package chooser selects the endpoint of a request at a router, from the loads that endpoints and the other routers
// report and from the responses and failures that this router observes.
package chooser
