// Command fakeengine runs a test model engine.
package main
