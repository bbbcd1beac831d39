package generator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against measurements that cannot be reproduced because a seed gives different traces, and against turns out
// of order.
func TestTraceIsRepeatableAndOrdered(t *testing.T) {
	cfg := Config{
		Seed: 7, ConcurrentChats: 50, Duration: time.Minute, RampUp: 10 * time.Second, MeanTurns: 5,
		MedianTurnInterval: 5 * time.Second, SystemWords: 20, TurnWords: 10,
		Workspaces: []Workspace{{Name: "a", Language: Slovak, Share: 3}, {Name: "b", Language: French, Share: 1}},
	}
	first, second := Generate(cfg), Generate(cfg)
	assert.DeepEqual(t, first, second)
	nextNumber := map[int]int{}
	var last time.Duration
	for _, turn := range first.Turns {
		assert.Assert(t, turn.At >= last)
		assert.Equal(t, turn.Number, nextNumber[turn.Chat])
		nextNumber[turn.Chat]++
		last = turn.At
	}
	cfg.Seed = 8
	assert.Assert(t, len(Generate(cfg).Turns) != len(first.Turns) || Generate(cfg).Turns[0] != first.Turns[0])
}
