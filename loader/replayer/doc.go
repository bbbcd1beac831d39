// Package replayer replays a trace of multi-turn chats against a model of the endpoints' prefix caches, and compares
// placement policies by the tokens that they reuse under the same load bound.
package replayer
