package main

import (
	"context"
	"time"

	"cactusroute.dev/adapters/launcher"
	"cactusroute.dev/adapters/observer"
	"cactusroute.dev/adapters/server"
	"cactusroute.dev/fakeengine"
)

func main() {
	var s fakeengine.Settings
	launcher.Run("fakeengine", "run a test model engine", &s, func(ctx context.Context, _ *observer.Observer) error {
		srv := &server.Server{Addr: s.Listen, Handler: fakeengine.New(s.Config()), GracePeriod: time.Minute}
		return srv.Serve(ctx)
	})
}
