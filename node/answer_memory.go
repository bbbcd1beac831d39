package node

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"cactusroute.dev/adapters/forwarder"
	"cactusroute.dev/adapters/server"
	"cactusroute.dev/core/chooser"
)

const (
	// maxBufferedBytes is the size up to which a response is buffered before any of it is sent to the caller, so that the
	// request can be retried if the response ends early.
	maxBufferedBytes = 256 << 10

	// boundBufferedBytes is the name of the bound maxBufferedBytes on responses that are not forwarded as they arrive.
	boundBufferedBytes = "bufferedBytes"

	// initialAnswerBytes is the initial buffer size for a response of unknown length.
	initialAnswerBytes = 512

	// copyBufferBytes is the buffer size for what follows the buffered part of a response, and minCopyBufferBytes that
	// while the buffers of all responses are at their limit.
	copyBufferBytes    = 32 << 10
	minCopyBufferBytes = 4 << 10
)

// bufferedResponse is a complete response of an endpoint that was not forwarded to the caller.
type bufferedResponse struct {
	response *forwarder.Response
	body     []byte
	memory   server.Reservation
}

// readAnswer buffers up to maxBufferedBytes and one more of a response. It returns errNoMemory with what it has
// buffered if memory for more can't be reserved.
func (t *transfer) readAnswer(resp *forwarder.Response) ([]byte, error) {
	size := max(initialAnswerBytes, min(resp.Length+1, maxBufferedBytes))
	if !t.buffered.Take(size) {
		return nil, errNoMemory
	}
	return readAll(io.LimitReader(resp.Body, maxBufferedBytes+1), make([]byte, 0, size), -1, t.buffered.Take)
}

// keepError buffers a 5xx response, which is forwarded if no retry succeeds. Without memory for it, the caller gets a
// refusal of the node instead.
func (t *transfer) keepError(resp *forwarder.Response) error {
	body, err := t.readAnswer(resp)
	switch {
	case errors.Is(err, errNoMemory):
		return nil
	case err != nil:
		return err
	case len(body) > maxBufferedBytes:
		return &forwarder.LimitError{Bound: boundBufferedBytes, Limit: maxBufferedBytes, Seen: int64(len(body))}
	}
	t.releaseError()
	t.lastError = &bufferedResponse{response: resp, body: body, memory: t.buffered}
	t.buffered = server.Reservation{Budget: t.proxy.answers}
	return nil
}

// releaseError forgets the last 5xx response.
func (t *transfer) releaseError() {
	if t.lastError != nil {
		t.lastError.memory.Release()
		t.lastError = nil
	}
}

// discardAnswer reads a response that nobody gets, so that its connection can be used again; it returns a
// *forwarder.LimitError if it is longer than maxBufferedBytes.
func discardAnswer(resp *forwarder.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBufferedBytes+1))
	if err == nil && n > maxBufferedBytes {
		err = &forwarder.LimitError{Bound: boundBufferedBytes, Limit: maxBufferedBytes, Seen: n}
	}
	return err
}

// copyResponse forwards a response that is not a stream. Up to maxBufferedBytes are buffered first, less if the buffers
// of all responses are at their limit.
func (t *transfer) copyResponse(ctx context.Context, c chooser.Choice, resp *forwarder.Response) (decision, refusal) {
	buf, err := t.readAnswer(resp)
	if err != nil && !errors.Is(err, errNoMemory) {
		return t.handleReadError(ctx, c, err)
	}
	writeErr := t.writeResponse(resp, buf)
	var readErr error
	if writeErr == nil && (err != nil || len(buf) > maxBufferedBytes) {
		t.buffered.Release()
		readErr, writeErr = t.copyRest(resp)
	}
	switch {
	case writeErr != nil, readErr != nil && isDisconnected(ctx):
		return abandonRequest, refusal{reason: "callerLeft"}
	case readErr != nil && !time.Now().Before(t.request.deadline):
		return abortResponse, refusal{status: http.StatusGatewayTimeout, reason: "deadline", logFields: []any{"err", readErr}}
	case readErr != nil:
		t.recordFailure(c, forwarder.Unknown, readErr)
		return abortResponse, refusal{reason: "endpointBroke", logFields: []any{"err", readErr}}
	}
	if !resp.EndsWithConn {
		t.recordAnswered(resp)
	}
	return finishRequest, refusal{status: resp.Status}
}

// copyRest forwards what follows the buffered part of a response.
func (t *transfer) copyRest(resp *forwarder.Response) (readErr, writeErr error) {
	size := copyBufferBytes
	if !t.buffered.Take(copyBufferBytes) {
		size = minCopyBufferBytes
	}
	buf := make([]byte, size)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if _, err := t.w.Write(buf[:n]); err != nil {
				return nil, err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil, nil
		}
		if err != nil {
			return err, nil
		}
	}
}
