// Command soaker runs soaks with given seeds, several at once.
package main
