package exchanger

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/core/summer"
)

// Guards against sums that change their meaning on the way, also after their keys are numbered anew.
func TestSumsArriveAsSent(t *testing.T) {
	var s sumSender
	var d sumDecoder
	now := time.Unix(0, 0)
	for round := range 400 {
		now = now.Add(time.Minute)
		sums := Sums{"constant": 7, fmt.Sprint("key", round): uint64(round + 1)}
		m, ok := s.next(now, sums)
		assert.Assert(t, ok)
		got, err := d.decode(&m)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, sums)
	}
}

// Guards against traffic that grows with unchanged sums, and against sums that look old because nothing changes.
func TestUnchangedSumsAreRefreshed(t *testing.T) {
	var s sumSender
	now := time.Unix(0, 0)
	_, ok := s.next(now, Sums{"a": 1})
	assert.Assert(t, ok)
	_, ok = s.next(now.Add(sumInterval), Sums{"a": 1})
	assert.Assert(t, !ok)
	_, ok = s.next(now.Add(sumRefreshInterval), Sums{"a": 1})
	assert.Assert(t, ok)
	_, ok = s.next(now.Add(time.Minute), nil)
	assert.Assert(t, !ok)
}

// Guards against messages of a peer that exhaust memory or name keys that were not sent.
func TestInvalidSumsAreRejected(t *testing.T) {
	for _, tc := range []struct {
		name string
		m    sumsMessage
	}{
		{"number without a key", sumsMessage{Values: encodeCounts(map[uint64]int{0: 1})}},
		{"long key", sumsMessage{NewKeys: []string{string(make([]byte, summer.MaxKeyBytes+1))}}},
		{"value without an end", sumsMessage{NewKeys: []string{"a"}, Values: []byte{0, 0x80}}},
		{"large value", sumsMessage{NewKeys: []string{"a"}, Values: encodeCounts(map[uint64]int{0: summer.MaxCount + 1})}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := (&sumDecoder{}).decode(&tc.m)
			assert.ErrorIs(t, err, errInvalidSums)
		})
	}
}

// Guards against sums that the receiver rejects, which ends the connection: the totals of all routers have more keys
// than one router may publish, near 1,500 endpoints that nobody reaches.
func TestSumsOfManyRoutersAreAccepted(t *testing.T) {
	var s sumSender
	var d sumDecoder
	now := time.Unix(0, 0)
	for round := range 12 {
		sums := Sums{"share/llm/ok": 5}
		for i := range 3000 {
			for _, domain := range []string{"a", "b", "c"} {
				sums[fmt.Sprintf("reach/f/%s/e%d#%d", domain, i, round/3)] = uint64(1 + i%7)
			}
		}
		now = now.Add(time.Minute)
		m, ok := s.next(now, sums)
		assert.Assert(t, ok)
		assert.Assert(t, len(s.numbers) <= maxSumNumbers)
		got, err := d.decode(&m)
		assert.NilError(t, err)
		assert.Assert(t, len(got) <= summer.MaxKeys && len(got) > summer.MaxKeys-3)
		assert.Equal(t, got["share/llm/ok"], uint64(5))
		for key, n := range got {
			assert.Equal(t, n, sums[key])
		}
		assert.Equal(t, s.takeDropped(now), len(sums)-len(got))
	}
	assert.Equal(t, s.takeDropped(now), 0, "a report for each message")
}

// Guards against a connection that ends because its sender, of an earlier release, does not bound its keys, and against
// values that are taken for those of other keys then.
func TestKeysBeyondTheBoundAreDropped(t *testing.T) {
	var d sumDecoder
	keys := make([]string, maxSumNumbers+500)
	for i := range keys {
		keys[i] = fmt.Sprint("k", i)
	}
	last := uint64(len(keys) - 1)
	got, err := d.decode(&sumsMessage{NewKeys: keys, Values: encodeCounts(map[uint64]int{3: 33, last: 9})})
	assert.NilError(t, err)
	assert.DeepEqual(t, got, Sums{"k3": 33})
	got, err = d.decode(&sumsMessage{NewKeys: []string{"more"}, Values: encodeCounts(map[uint64]int{4: 44, last + 1: 9})})
	assert.NilError(t, err)
	assert.DeepEqual(t, got, Sums{"k4": 44})
	assert.Equal(t, len(d.keys), maxSumNumbers)
	_, err = d.decode(&sumsMessage{Values: encodeCounts(map[uint64]int{last + 2: 1})})
	assert.ErrorIs(t, err, errInvalidSums)
	got, err = d.decode(&sumsMessage{Reset: true, NewKeys: []string{"a"}, Values: encodeCounts(map[uint64]int{0: 1})})
	assert.NilError(t, err)
	assert.DeepEqual(t, got, Sums{"a": 1})
}
