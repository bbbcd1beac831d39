// Package slowlinker relays connections at a limited rate, for tests of slow links.
package slowlinker
