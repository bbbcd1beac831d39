package main

import (
	"context"

	"cactusroute.dev/adapters/configurer"
	"cactusroute.dev/adapters/launcher"
	"cactusroute.dev/adapters/observer"
	"cactusroute.dev/node"
)

func load(file string) (s node.Settings, err error) {
	err = configurer.LoadChecked(file, &s)
	return s, err
}

func main() {
	var s node.Settings
	launcher.Run("node", "route requests to self-registering endpoints", &s,
		func(ctx context.Context, _ *observer.Observer) error {
			return node.Serve(ctx, s, node.NativeDialect(), launcher.SettingsFile(ctx), load)
		})
}
