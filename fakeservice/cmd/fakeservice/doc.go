// Command fakeservice runs a test service with calls that are not idempotent.
package main
