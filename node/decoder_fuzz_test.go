package node

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cactusroute.dev/adapters/storer"
	"cactusroute.dev/core/registrar"
	"cactusroute.dev/core/resumer"
)

// Guards against a file of stream origins, damaged by a power loss, that takes down the node that reads it.
func FuzzStreamLog(f *testing.F) {
	now := time.Unix(1000, 0)
	log := &streamLog{fs: storer.DiskFS{}, folder: f.TempDir()}
	for i := range 3 {
		if err := log.append(now, testStreams(now, 10*i, 10*i+10)); err != nil {
			f.Fatal(err)
		}
	}
	data, err := log.fs.ReadFile(log.path(streamLogFile))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add(data[:len(data)/2])
	f.Fuzz(func(t *testing.T, data []byte) {
		list, valid := decodeStreamLog(now, data)
		if valid < 0 || valid > int64(len(data)) {
			t.Fatalf("valid part of %d bytes: %d", len(data), valid)
		}
		table := resumer.New(now, maxKnownStreams)
		for _, s := range list {
			table.Record(now, s)
		}
	})
}

// Guards against a heartbeat that takes down the control instance that receives it.
func FuzzHeartbeat(f *testing.F) {
	f.Add("e", []byte(`{"service":"s","address":"127.0.0.1:1","failureDomain":"d","slots":8,"sequence":1,"coldMillis":5}`))
	f.Add("", []byte(`{"service":1}`))
	f.Add("e\xff", []byte(`{"service":"s","address":"127.0.0.1:1","sequence":1,"coldMillis":1000000000000000000}`))
	f.Fuzz(func(t *testing.T, id string, data []byte) {
		now := time.Unix(1000, 0)
		e, err := decodeHeartbeat(id, data, now)
		if err != nil {
			return
		}
		table := registrar.New(time.Second)
		if e.Service == "" || e.Sequence == 0 || table.Merge(now, e) != registrar.Changed {
			t.Fatalf("heartbeat %q registers %+v", data, e)
		}
		_ = describeEndpoint(&e) + e.State.String()
		stored, err := cbor.Marshal(stateCache{Endpoints: table.All()})
		if err != nil {
			t.Fatal(err)
		}
		var cache storedStateCache
		if err := cbor.Unmarshal(stored, &cache); err != nil {
			t.Fatal(err)
		}
		if read := cache.decode(); len(read.Endpoints) != 1 || read.Endpoints[0].ID != e.ID {
			t.Fatalf("heartbeat %q is read from the disk as %+v: %v", data, read.Endpoints, read.rejectReason)
		}
	})
}
