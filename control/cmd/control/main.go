package main

import (
	"context"

	"cactusroute.dev/adapters/launcher"
	"cactusroute.dev/adapters/observer"
	"cactusroute.dev/control"
)

func main() {
	var s control.Settings
	launcher.Run("control", "replicate the state of the fleet and serve it to routers, agents and operators", &s,
		func(ctx context.Context, obs *observer.Observer) error { return control.Run(ctx, s, obs) })
}
