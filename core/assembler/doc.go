// Package assembler reassembles the response to one attempt from frames that may be duplicate, late, missing or
// part of another attempt.
package assembler
