// Command soaker runs soak tests with given seeds, several of them concurrently.
package main
