package node

import (
	"context"
	"net"
	"net/http"

	"cactusroute.dev/adapters/server"
)

// callerConnKey is the context key of the connection that a request arrived on.
type callerConnKey struct{}

// withCallerConn is the ConnContext function of the servers of a proxy.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(server.WithConn(ctx, c), callerConnKey{}, c)
}

// lingerConn is a connection whose close can be made a reset.
type lingerConn interface{ SetLinger(sec int) error }

const (
	lingerReset   = 0  // a close discards unsent data and resets the connection
	lingerDefault = -1 // a close sends what is left
)

// endWithConn makes the response end with the caller's connection, for a body whose end is not known otherwise. Until
// completeWithConn, every close of the connection is a reset, also by the kernel after a crash of this process, so that
// a partial response does not look complete.
func (t *transfer) endWithConn() {
	conn, ok := t.request.inbound.Context().Value(callerConnKey{}).(lingerConn)
	if !ok {
		t.proxy.log.failure("msg", "connection of the caller cannot be reset", "request", t.request.id)
		return
	}
	if err := conn.SetLinger(lingerReset); err != nil {
		t.proxy.log.failure("msg", "connection of the caller cannot be reset", "request", t.request.id, "err", err)
	}
	t.callerConn = conn
	t.w.Header()["Transfer-Encoding"] = []string{"identity"}
}

// completeWithConn sends what is buffered and lets the connection end without a reset.
func (t *transfer) completeWithConn() error {
	if err := http.NewResponseController(t.w).Flush(); err != nil {
		return err
	}
	return t.callerConn.SetLinger(lingerDefault)
}
