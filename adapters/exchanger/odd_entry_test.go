package exchanger

import (
	"context"
	"math"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"cactusroute.dev/adapters/messenger"
)

// oddRecords returns a list of odd records with a sound one at its end.
func oddRecords() []any {
	sound := func() map[int]any {
		return map[int]any{1: "sound", 2: "s", 3: "10.0.0.1:80", 4: "d", 5: 8, 6: 1, 7: 1_700_000_000_000, 8: 3, 9: 100}
	}
	list := []any{nil, 7, "text", []any{}, []any{[]any{[]any{[]any{[]any{}}}}}, map[int]any{}, map[string]any{"1": 1}}
	for _, c := range []struct {
		key   int
		value any
	}{
		{1, 7}, {1, ""}, {1, cbor.RawMessage{0x62, 'x', 0xff}}, {1, "x\r\nKey: 1"}, {1, strings.Repeat("x", 1<<16)},
		{1, []any{}},
		{2, nil}, {3, "10.0.0.1:70000"}, {3, "10.0.0.1:-1"}, {3, "10.0.0.1:http"}, {3, ":80"}, {3, 80}, {4, 1.5},
		{5, -1}, {5, uint64(math.MaxUint64)}, {5, 1e300}, {5, math.NaN()}, {5, "8"}, {6, 0}, {6, 9}, {6, 255}, {6, 256},
		{6, -1},
		{7, int64(1e18)}, {7, -1}, {7, 1.5}, {7, cbor.RawMessage{0xc2, 0x49, 1, 0, 0, 0, 0, 0, 0, 0, 0}}, {8, -1},
		{8, uint64(math.MaxUint64)}, {9, int64(math.MaxInt64)}, {9, math.Inf(1)}, {10, map[int]any{1: map[int]any{}}},
	} {
		record := sound()
		record[c.key] = c.value
		list = append(list, record)
	}
	return append(list, sound())
}

// Guards against a list with odd records that ends the subscription or costs the sound records in it, at routers and at
// control instances.
func TestOddRecordCostsItselfAlone(t *testing.T) {
	records := oddRecords()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	s := &fakeSource{quorate: true}
	hs := httptest.NewServer(NewServer(messenger.Options{}, s))
	defer hs.Close()
	conn, err := messenger.Dial(ctx, strings.TrimPrefix(hs.URL, "http://"), SubscriptionPath, messenger.Options{})
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.Send(ctx, kindHello, 0, helloMessage{Contact: Contact{Name: "router"}}))
	assert.NilError(t, conn.Send(ctx, kindEndpoints, 0, map[int]any{2: records}))
	assert.NilError(t, conn.Send(ctx, kindSuspects, 0, []Suspect{{Fingerprint: 77}}))
	waitFor(t, "a message after the list", func() bool { return s.hasRecorded("suspect 77") })
	assert.Assert(t, s.hasRecorded("rejected 39 of router: "))
	assert.Assert(t, s.hasRecorded("endpoint sound"))

	body, err := cbor.Marshal(map[int]any{2: records})
	assert.NilError(t, err)
	r := &fakeReceiver{}
	var dec decoders
	assert.NilError(t, dispatch(&messenger.Envelope{Kind: kindEndpoints, Body: body}, r, &dec))
	assert.Assert(t, r.hasRecorded("rejected 39: "), "%q", r.recorded)
	assert.Assert(t, r.hasRecorded("sound ready full false cold true"), "%q", r.recorded)
}

// Guards against numbers of routers by which budgets and rates are divided until nothing is left.
func TestOddRouterCountIsBounded(t *testing.T) {
	var dec heartbeatDecoder
	hb := dec.decode(&heartbeatMessage{Routers: math.MaxInt, SubscribedRouters: -5})
	assert.Equal(t, hb.Routers, maxRouters)
	assert.Equal(t, hb.SubscribedRouters, 0)
}
