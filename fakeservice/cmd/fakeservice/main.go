package main

import (
	"context"
	"time"

	"cactusroute.dev/adapters/launcher"
	"cactusroute.dev/adapters/observer"
	"cactusroute.dev/adapters/server"
	"cactusroute.dev/fakeservice"
)

func main() {
	var s fakeservice.Settings
	launcher.Run("fakeservice", "run a test service", &s, func(ctx context.Context, _ *observer.Observer) error {
		h := fakeservice.New(time.Duration(s.DelayMillis) * time.Millisecond)
		h.MaxInFlight, h.RetryAfter = s.MaxInFlight, time.Duration(s.RetryAfterMillis)*time.Millisecond
		srv := &server.Server{Addr: s.Listen, Handler: h, GracePeriod: time.Minute}
		return srv.Serve(ctx)
	})
}
