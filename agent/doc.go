// Package agent implements the process that runs next to one endpoint: it admits requests from routers and forwards
// them to the endpoint.
package agent
