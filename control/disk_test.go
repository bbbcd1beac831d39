package control

import (
	"bytes"
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"cactusroute.dev/core/applier"
)

func applyCommand(t testing.TB, a *applier.Applier, c applier.Command) applier.Result {
	c.Time = 1000
	e, err := c.Encode()
	assert.NilError(t, err)
	r, err := a.Apply(a.Index()+1, e)
	assert.NilError(t, err)
	return r
}

func addClaims(t testing.TB, a *applier.Applier, claims int) {
	in := applyCommand(t, a, applier.Command{
		Announce: &applier.Announce{Name: "e", Address: "h:1", Session: "s"},
	}).Incarnation
	for i := range claims {
		applyCommand(t, a, applier.Command{Claim: &applier.Claim{
			Operation: fmt.Sprint(i), Digest: "d", Endpoint: "e", Incarnation: in,
		}})
	}
	refused := applyCommand(t, a, applier.Command{
		RecordOutcome: &applier.RecordOutcome{Operation: "none", Generation: 1},
	})
	assert.Assert(t, refused.Err != nil)
}

// Guards against a disk store that differs from the memory store, a refused command whose writes are not rolled back,
// and a snapshot that includes entries applied after it was taken.
func TestDiskStoreMatchesMemoryStore(t *testing.T) {
	disk := NewDiskStore(t.TempDir())
	defer func() { assert.NilError(t, disk.Close()) }()
	var chunks [2][][]byte
	for i, store := range []applier.Store{disk, applier.NewMemoryStore()} {
		a := applier.New(store)
		addClaims(t, a, 100)
		seq, err := a.Snapshot()
		assert.NilError(t, err)
		applyCommand(t, a, applier.Command{
			Claim: &applier.Claim{Operation: "late", Digest: "d", Endpoint: "e", Incarnation: 1},
		})
		for c, err := range seq {
			assert.NilError(t, err)
			chunks[i] = append(chunks[i], c)
		}
		assert.NilError(t, a.Restore(func(yield func([]byte, error) bool) {
			for _, c := range chunks[i] {
				if !yield(c, nil) {
					return
				}
			}
		}))
		assert.Equal(t, a.ClaimCount(), int64(100))
		assert.Equal(t, a.View().Endpoints["e"].Incarnation, uint64(1))
	}
	assert.Assert(t, slices.EqualFunc(chunks[0], chunks[1], bytes.Equal))
}

func BenchmarkDiskStoreClaim(b *testing.B) {
	disk := NewDiskStore(b.TempDir())
	defer func() { _ = disk.Close() }()
	a := applier.New(disk)
	addClaims(b, a, 1000)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		applyCommand(b, a, applier.Command{Claim: &applier.Claim{
			Operation: fmt.Sprintf("b%d", i), Digest: "d", Endpoint: "e", Incarnation: 1,
		}})
	}
}
