// Package socket writes to TCP connections and inspects what their peers have not read yet.
package socket
