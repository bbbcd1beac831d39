// Package fakeservice implements a test service with calls that are not idempotent; it counts how often each ran.
package fakeservice
