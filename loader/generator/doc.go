// Package generator generates traces of multilingual chats with several turns from a seed.
package generator
