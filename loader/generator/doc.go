// Package generator makes traces of returning multilingual chats from a seed.
package generator
