package exchanger

import (
	"bytes"
	"compress/flate"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cactusroute.dev/core/fleetapplier"
)

// Guards against a plan that is changed by compression, and against plans that are sent uncompressed: with a hundred
// subscribers, frequent plan changes caused most of the traffic of a control instance.
func TestPlanIsCompressedOnce(t *testing.T) {
	var content strings.Builder
	for i := range 400 {
		_, _ = fmt.Fprintf(&content, `{"host":"host%d.example","prefix":"/route%d/","service":"s%d"},`, i*7, i, i%9)
	}
	plan := fleetapplier.EncodedPlan{Version: 7, Content: []byte(content.String())}
	var p planCompressor
	compressed, err := p.compress(&plan)
	assert.NilError(t, err)
	assert.Assert(t, len(compressed)*5 < len(plan.Content), "%d of %d bytes", len(compressed), len(plan.Content))
	again, err := p.compress(&plan)
	assert.NilError(t, err)
	assert.Assert(t, &again[0] == &compressed[0])
	got, err := decompressPlan(&stateMessage{Version: 7, Plan: compressed})
	assert.NilError(t, err)
	assert.DeepEqual(t, *got, plan)
	plan = fleetapplier.EncodedPlan{Version: 8, Content: []byte("{}")}
	next, err := p.compress(&plan)
	assert.NilError(t, err)
	got, err = decompressPlan(&stateMessage{Version: 8, Plan: next})
	assert.NilError(t, err)
	assert.Equal(t, string(got.Content), "{}")
}

// Guards against a corrupt plan, and against one that exhausts the memory when it is decompressed.
func TestInvalidPlansAreRejected(t *testing.T) {
	_, err := decompressPlan(&stateMessage{Plan: []byte("no plan")})
	assert.ErrorContains(t, err, "decompress plan")
	var bomb bytes.Buffer
	w, err := flate.NewWriter(&bomb, flate.BestSpeed)
	assert.NilError(t, err)
	_, err = w.Write(make([]byte, 2*maxMessageBytes))
	assert.NilError(t, err)
	assert.NilError(t, w.Close())
	_, err = decompressPlan(&stateMessage{Plan: bomb.Bytes()})
	assert.ErrorIs(t, err, errPlanTooLarge)
	none, err := decompressPlan(&stateMessage{})
	assert.Assert(t, err == nil && none == nil)
}
