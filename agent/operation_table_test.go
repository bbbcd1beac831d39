package agent

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cactusroute.dev/adapters/relayer"
)

// TestMain fixes the seed of the state machine tests for reproducible results; -rapid.seed sets another seed.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	fmt.Println("rapid seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

// Guards against a second run of a generation, a run of a refused generation, and the refusal of one that may have run,
// in any order of run messages, refusals, completions, new incarnations and agent restarts. As at control, the claim
// moves to the next generation only after a refusal.
func TestOperationTableStateMachine(t *testing.T) {
	type key struct{ generation, incarnation uint64 }
	rapid.Check(t, func(t *rapid.T) {
		o, now := newOperationTable(), time.Now()
		incarnation, generation := uint64(1), uint64(1)
		granted := map[uint64]uint64{1: 1} // generation to the incarnation in its run messages
		ran, refused := map[uint64]int{}, map[uint64]bool{}
		current := map[key]*operation{}
		t.Repeat(map[string]func(*rapid.T){
			"message": func(t *rapid.T) {
				g := rapid.Uint64Range(1, generation).Draw(t, "generation")
				op, isNew := o.startOrJoin(now, &relayer.Operation{ID: "x", Generation: g, Incarnation: granted[g]}, incarnation)
				if isNew {
					assert.Assert(t, !refused[g], "generation %d was refused", g)
					assert.Equal(t, ran[g], 0)
					current[key{g, incarnation}] = op
				}
				if op.state == operationRefused {
					assert.Equal(t, ran[g], 0, "generation %d may have run", g)
					refused[g] = true
				}
			},
			"refuse": func(*rapid.T) {
				for k, op := range current {
					if op.state == operationPending {
						o.refuse(op, &relayer.RefusalError{Reason: relayer.ReasonStaleView})
						refused[k.generation] = true
					}
				}
			},
			"forward": func(*rapid.T) {
				for k, op := range current {
					if op.state == operationPending {
						o.markForwarded(op)
						ran[k.generation]++
						assert.Equal(t, ran[k.generation], 1)
					}
				}
			},
			"end": func(t *rapid.T) {
				for _, op := range current {
					if op.state == operationForwarded {
						o.finish(op, relayer.Head{}, nil, rapid.SampledFrom([]string{"", "lost"}).Draw(t, "problem"))
					}
				}
			},
			"claim moves": func(*rapid.T) {
				if refused[generation] {
					generation++
					granted[generation] = incarnation
				}
			},
			"reconnect": func(*rapid.T) {
				incarnation++
				o.addIncarnation(incarnation)
			},
			"restart": func(*rapid.T) {
				incarnation++
				o = newOperationTable()
				o.addIncarnation(incarnation)
				clear(current)
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "s")) * time.Second)
			},
		})
	})
}
