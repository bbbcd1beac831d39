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

// Guards against a plan that arrives changed, and against a fleet of hundreds of routers that get each plan in full: a
// storm of configurations was most of the bytes of a control instance with a hundred subscribers.
func TestPlanIsCompressedOnce(t *testing.T) {
	var content strings.Builder
	for i := range 400 {
		_, _ = fmt.Fprintf(&content, `{"host":"host%d.example","prefix":"/route%d/","service":"s%d"},`, i*7, i, i%9)
	}
	doc := fleetapplier.EncodedPlan{Version: 7, Content: []byte(content.String())}
	var p planCompressor
	packed, err := p.compress(&doc)
	assert.NilError(t, err)
	assert.Assert(t, len(packed)*5 < len(doc.Content), "%d of %d bytes", len(packed), len(doc.Content))
	again, err := p.compress(&doc)
	assert.NilError(t, err)
	assert.Assert(t, &again[0] == &packed[0])
	got, err := decompressPlan(&stateMessage{Version: 7, Plan: packed})
	assert.NilError(t, err)
	assert.DeepEqual(t, *got, doc)
	doc = fleetapplier.EncodedPlan{Version: 8, Content: []byte("{}")}
	next, err := p.compress(&doc)
	assert.NilError(t, err)
	got, err = decompressPlan(&stateMessage{Version: 8, Plan: next})
	assert.NilError(t, err)
	assert.Equal(t, string(got.Content), "{}")
}

// Guards against a message that is damaged, or that fills the memory once it is unpacked.
func TestInvalidPlansAreRejected(t *testing.T) {
	_, err := decompressPlan(&stateMessage{Plan: []byte("no plan")})
	assert.ErrorContains(t, err, "unpack plan")
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
