// Package forwarder sends requests to endpoints over pooled HTTP/1.1 connections and reports for each failed request
// whether the endpoint may have executed it.
package forwarder
