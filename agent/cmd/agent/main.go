package main

import (
	"context"

	"cactusroute.dev/adapters/launcher"
	"cactusroute.dev/adapters/observer"
	"cactusroute.dev/agent"
)

func main() {
	var s agent.Settings
	launcher.Run("agent", "admit requests from routers and forward them to an endpoint", &s,
		func(ctx context.Context, obs *observer.Observer) error { return agent.Run(ctx, s, obs) })
}
