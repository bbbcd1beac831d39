// Package forwarder sends requests to endpoints over kept HTTP/1.1 connections and tells for each one whether the
// endpoint can have run it.
package forwarder
