// Package subscriber is the WebSocket protocol between routers or agents and a control instance: views and their
// deltas, freshness leases, announcements, load reports, shares, and calls such as claims.
package subscriber
