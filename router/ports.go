package router

import (
	"context"
	"time"

	"cactusroute.dev/adapters/relayer"
	"cactusroute.dev/adapters/subscriber"
	"cactusroute.dev/core/viewer"
)

// Control is what a router uses of the control instances.
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

// Relay starts attempts at agents; its errors are those of relayer.Client.
type Relay interface {
	Start(ctx context.Context, addr string, req relayer.Request) (Response, error)
	// Moved tells the agent at addr which endpoint served a chat.
	NotifyMoved(addr string, chat uint64, endpoint string)
}

// Answer is the answer of one attempt as it arrives.
type Response interface {
	Head() relayer.Head
	// End is valid after Next has returned io.EOF or a *relayer.IncompleteError.
	End() relayer.End
	Next(ctx context.Context) ([]byte, error)
	Cancel()
}

type relayClient struct{ client *relayer.Client }

// Start sends the request to the agent.
func (a relayClient) Start(ctx context.Context, addr string, req relayer.Request) (Response, error) {
	s, err := a.client.Start(ctx, addr, req)
	if err != nil {
		return nil, err
	}
	return agentResponse{stream: s}, nil
}

// Moved tells the agent at addr which endpoint served a chat.
func (a relayClient) NotifyMoved(addr string, chat uint64, endpoint string) {
	a.client.NotifyMoved(addr, chat, endpoint)
}

type agentResponse struct{ stream *relayer.Stream }

// Head returns the start of the answer.
func (a agentResponse) Head() relayer.Head { return a.stream.Head }

// End returns the end of the answer.
func (a agentResponse) End() relayer.End { return a.stream.End }

// Next returns the next bytes.
func (a agentResponse) Next(ctx context.Context) ([]byte, error) { return a.stream.Next(ctx) }

// Cancel stops the run.
func (a agentResponse) Cancel() { a.stream.Cancel() }
