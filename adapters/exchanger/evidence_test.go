package exchanger

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"cactusroute.dev/core/attributor"
)

// Guards against evidence that loses a field or its age on the way to a node with another clock.
func TestEvidenceIsSentWithAges(t *testing.T) {
	sent, received := time.Unix(1000, 0), time.Unix(5000, 0)
	e := Evidence{
		Suspects: []attributor.Suspect{{Start: "e#1", At: sent.Add(-time.Second), Fingerprint: 7,
			Parts: []attributor.Part{1, 2}}},
		Answers: []attributor.Answer{{Part: 3, At: sent.Add(-2 * time.Second)}},
		Convictions: []attributor.Conviction{{Part: 4, Revision: 5, Lifted: true, Crashes: 6, At: sent.Add(-3 * time.Second),
			RefusedAt: sent.Add(-4 * time.Second), RefusedBy: "r", Trials: 1, TrialBy: "s",
			TrialAt: sent.Add(-5 * time.Second)}},
	}
	body, err := cbor.Marshal(encodeEvidence(sent, e))
	assert.NilError(t, err)
	var m evidenceMessage
	assert.NilError(t, cbor.Unmarshal(body, &m))
	got, err := decodeEvidence(received, &m)
	assert.NilError(t, err)
	shift := received.Sub(sent)
	e.Suspects[0].At = e.Suspects[0].At.Add(shift)
	e.Answers[0].At = e.Answers[0].At.Add(shift)
	c := &e.Convictions[0]
	c.At, c.RefusedAt, c.TrialAt = c.At.Add(shift), c.RefusedAt.Add(shift), c.TrialAt.Add(shift)
	assert.DeepEqual(t, got, e)
}

// Guards against a message of another node that fills the memory, or names a time in the future.
func TestEvidenceIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	long := strings.Repeat("x", maxEvidenceNameBytes+1)
	for _, c := range []struct {
		name string
		m    evidenceMessage
		ok   bool
	}{
		{"answers at the bound", evidenceMessage{Answers: make([]answerRecord, maxEvidenceRecords)}, true},
		{"too many answers", evidenceMessage{Answers: make([]answerRecord, maxEvidenceRecords+1)}, false},
		{"too many suspects", evidenceMessage{Suspects: make([]suspectRecord, maxEvidenceRecords+1)}, false},
		{"too many convictions", evidenceMessage{Convictions: make([]convictionRecord, maxEvidenceRecords+1)}, false},
		{"long start", evidenceMessage{Suspects: []suspectRecord{{Start: long}}}, false},
		{"too many parts", evidenceMessage{Suspects: []suspectRecord{
			{Parts: slices.Repeat([]attributor.Part{1}, attributor.MaxParts+1)}}}, false},
		{"long node name", evidenceMessage{Convictions: []convictionRecord{{TrialBy: long}}}, false},
	} {
		_, err := decodeEvidence(now, &c.m)
		assert.Equal(t, err == nil, c.ok, "%s: %v", c.name, err)
	}
	got, err := decodeEvidence(now, &evidenceMessage{Answers: []answerRecord{{AgeMillis: -5000}, {AgeMillis: 1 << 62}}})
	assert.NilError(t, err)
	assert.DeepEqual(t, got.Answers, []attributor.Answer{{At: now}, {At: now.Add(-maxAgeMillis * time.Millisecond)}})
}
