// Package relayer carries requests from routers to agents and responses back. Every response byte has an offset
// within its attempt, so that a router can resume a response over a new connection.
package relayer
