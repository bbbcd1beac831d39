package router

import (
	"context"
	"time"

	"cactusroute.dev/adapters/relayer"
	"cactusroute.dev/adapters/subscriber"
	"cactusroute.dev/core/viewer"
)

// Control is the client of the control instances.
type Control interface {
	Serve(ctx context.Context) error
	View() *viewer.View
	IsFresh(now time.Time) bool
	IsConnected() bool
	Share(workspace string) (n int, ok bool)
	SetDemand(d []subscriber.Demand)
	Claim(ctx context.Context, m subscriber.Claim) (subscriber.ClaimReply, error)
	ControlBytes() (in, out uint64)
}

// Relay sends requests to agents; its errors are those of relayer.Client.
type Relay interface {
	Start(ctx context.Context, addr string, req relayer.Request) (Response, error)
	// NotifyMoved notifies the agent at addr of the endpoint that served a chat.
	NotifyMoved(addr string, chat uint64, endpoint string)
}

// Response is the streamed response of one attempt. It is not safe for concurrent use.
type Response interface {
	Head() relayer.Head
	// End is valid after Next has returned io.EOF or a *relayer.IncompleteError.
	End() relayer.End
	Next(ctx context.Context) ([]byte, error)
	Cancel()
}

// relayClient implements Relay.
type relayClient struct{ client *relayer.Client }

// Start sends the request to the agent at addr.
func (c relayClient) Start(ctx context.Context, addr string, req relayer.Request) (Response, error) {
	stream, err := c.client.Start(ctx, addr, req)
	if err != nil {
		return nil, err
	}
	return agentResponse{stream: stream}, nil
}

// NotifyMoved notifies the agent at addr of the endpoint that served a chat.
func (c relayClient) NotifyMoved(addr string, chat uint64, endpoint string) {
	c.client.NotifyMoved(addr, chat, endpoint)
}

// agentResponse implements Response.
type agentResponse struct{ stream *relayer.Stream }

// Head returns the status and content type.
func (a agentResponse) Head() relayer.Head { return a.stream.Head }

// End returns the end of the response.
func (a agentResponse) End() relayer.End { return a.stream.End }

// Next returns the next chunk of the body.
func (a agentResponse) Next(ctx context.Context) ([]byte, error) { return a.stream.Next(ctx) }

// Cancel cancels the attempt.
func (a agentResponse) Cancel() { a.stream.Cancel() }
