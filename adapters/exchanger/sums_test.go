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
		{"too many keys", sumsMessage{NewKeys: make([]string, maxSumNumbers+1)}},
		{"value without an end", sumsMessage{NewKeys: []string{"a"}, Values: []byte{0, 0x80}}},
		{"large value", sumsMessage{NewKeys: []string{"a"}, Values: encodeCounts(map[uint64]int{0: summer.MaxCount + 1})}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := (&sumDecoder{}).decode(&tc.m)
			assert.ErrorIs(t, err, errInvalidSums)
		})
	}
}
