package node

import (
	"fmt"
	"io"
	"testing"

	"cactusroute.dev/adapters/configurer"
	"cactusroute.dev/adapters/exchanger"
	"cactusroute.dev/adapters/observer"
	"cactusroute.dev/core/chooser"
	"cactusroute.dev/core/registrar"
)

// newLargeFleet returns the fleet of a control instance that has not started, with 50 of 300 routers subscribed, five
// other instances and 3,000 endpoints, of which a tenth is in use.
func newLargeFleet(b *testing.B) (f *fleet, routers []exchanger.Contact) {
	s := Settings{Place: configurer.Place{Name: "n", Region: "r", FailureDomain: "d0"}, DataFolder: b.TempDir(),
		Listen: Listen{Exchange: "127.0.0.1:1", Control: "127.0.0.1:2"}}
	if err := s.Check(); err != nil {
		b.Fatal(err)
	}
	queue := observer.NewAsyncWriter(io.Discard)
	f = New(s, testDialect(), observer.New(queue, "n"), queue).fleet
	list := make([]registrar.Endpoint, 0, 3000)
	for i := range 3000 {
		list = append(list, registrar.Endpoint{ID: fmt.Sprint("asesor-ia-", i), Service: "s", Domain: fmt.Sprint("d", i%3),
			Address: fmt.Sprintf("10.0.%d.%d:80", i/200, i%200), Slots: 64, State: registrar.Ready, Born: 1, Sequence: 1})
	}
	f.mergeEndpoints(list, "test")
	loads := func(first, step int) exchanger.Loads {
		loads := exchanger.Loads{}
		for i := first; i < 3000; i += step {
			loads[list[i].ID] = chooser.Load{Requests: 1, Wanted: 1}
		}
		return loads
	}
	for i := range 50 {
		c := exchanger.Contact{Name: fmt.Sprint("r", i), Address: fmt.Sprint("10.1.0.", i), Domain: "d0"}
		f.SubscriberConnected(c)
		f.LoadsReceived(c, loads(10*i, 500))
		routers = append(routers, c)
	}
	for i := range 5 {
		inst := f.recordInstance(exchanger.Contact{Name: fmt.Sprint("i", i), Domain: fmt.Sprint("d", i%3)}, true)
		inst.reported.loads = loads(10*i, 50)
	}
	return f, routers
}

// BenchmarkLoadsOfRouters is what a control instance does in each 50 ms with the loads of its routers and for them.
func BenchmarkLoadsOfRouters(b *testing.B) {
	f, routers := newLargeFleet(b)
	b.ReportAllocs()
	for b.Loop() {
		f.routing.setTotalLoads(f.Loads(exchanger.Contact{}))
		for _, c := range routers {
			_ = f.Loads(c)
		}
	}
}

// BenchmarkUpdateRouting is an update of the routing over all endpoints.
func BenchmarkUpdateRouting(b *testing.B) {
	f, _ := newLargeFleet(b)
	b.ReportAllocs()
	for b.Loop() {
		f.updateRouting()
	}
}

// BenchmarkOwnLoads is the report of a router that sends nothing.
func BenchmarkOwnLoads(b *testing.B) {
	f, _ := newLargeFleet(b)
	b.ReportAllocs()
	for b.Loop() {
		f.routing.ownLoads()
	}
}

// BenchmarkTotalLoads is the receipt of the loads of all routers.
func BenchmarkTotalLoads(b *testing.B) {
	f, routers := newLargeFleet(b)
	loads := f.Loads(routers[0])
	b.ReportAllocs()
	for b.Loop() {
		f.routing.setTotalLoads(loads)
	}
}

// BenchmarkHeartbeat is the heartbeat of an endpoint that tells nothing new.
func BenchmarkHeartbeat(b *testing.B) {
	f, _ := newLargeFleet(b)
	e := f.endpoints.Get("asesor-ia-7")
	b.ReportAllocs()
	for b.Loop() {
		e.Sequence++
		if _, err := f.Register(b.Context(), e); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkSubscription is what a subscription costs until the first updates, without the transport.
func BenchmarkSubscription(b *testing.B) {
	f, _ := newLargeFleet(b)
	b.ReportAllocs()
	for b.Loop() {
		f.mergeEndpoints(f.Endpoints(), "test")
	}
}
