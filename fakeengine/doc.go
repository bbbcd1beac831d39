// Package fakeengine implements a test model engine: it serves the chat-completions API and an engine
// administration API, and generates a deterministic text from the prompt.
package fakeengine
