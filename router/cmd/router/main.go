package main

import (
	"context"

	"cactusroute.dev/adapters/launcher"
	"cactusroute.dev/adapters/observer"
	"cactusroute.dev/router"
)

func main() {
	var s router.Settings
	launcher.Run("router", "accept callers' requests and route them to endpoints", &s,
		func(ctx context.Context, obs *observer.Observer) error { return router.Run(ctx, s, obs) })
}
