package exchanger

import (
	"fmt"
	"time"

	"cactusroute.dev/core/attributor"
)

const (
	// maxEvidenceRecords bounds the records of each kind in one message.
	maxEvidenceRecords = 20_000

	// maxEvidenceNameBytes bounds the names in a record.
	maxEvidenceNameBytes = 256

	// maxPendingEvidence bounds the unsent records for one subscriber; a slower one is sent all evidence.
	maxPendingEvidence = 4096

	// maxAgeMillis bounds the ages in messages.
	maxAgeMillis = 24 * 60 * 60 * 1000
)

// Evidence is what nodes tell each other about prompt parts and crashes of endpoints.
type Evidence struct {
	Suspects    []attributor.Suspect
	Answers     []attributor.Answer
	Convictions []attributor.Conviction
}

// Len returns the number of records.
func (e *Evidence) Len() int { return len(e.Suspects) + len(e.Answers) + len(e.Convictions) }

// Add appends the records of other.
func (e *Evidence) Add(other Evidence) {
	e.Suspects = append(e.Suspects, other.Suspects...)
	e.Answers = append(e.Answers, other.Answers...)
	e.Convictions = append(e.Convictions, other.Convictions...)
}

// evidenceMessage is encoded evidence. It has ages in place of points in time, because the clocks of processes may
// differ.
type evidenceMessage struct {
	Suspects    []suspectRecord    `cbor:"1,keyasint,omitempty"`
	Answers     []answerRecord     `cbor:"2,keyasint,omitempty"`
	Convictions []convictionRecord `cbor:"3,keyasint,omitempty"`
}

type suspectRecord struct {
	Start       string            `cbor:"1,keyasint"`
	AgeMillis   int64             `cbor:"2,keyasint"`
	Fingerprint uint64            `cbor:"3,keyasint"`
	Parts       []attributor.Part `cbor:"4,keyasint"`
}

type answerRecord struct {
	Part      attributor.Part `cbor:"1,keyasint"`
	AgeMillis int64           `cbor:"2,keyasint"`
}

type convictionRecord struct {
	Part             attributor.Part `cbor:"1,keyasint"`
	Revision         uint64          `cbor:"2,keyasint"`
	Lifted           bool            `cbor:"3,keyasint,omitempty"`
	Crashes          int             `cbor:"4,keyasint"`
	AgeMillis        int64           `cbor:"5,keyasint"`
	RefusedAgeMillis int64           `cbor:"6,keyasint"`
	RefusedBy        string          `cbor:"7,keyasint,omitempty"`
	Trials           int             `cbor:"8,keyasint,omitempty"`
	TrialBy          string          `cbor:"9,keyasint,omitempty"`
	TrialAgeMillis   int64           `cbor:"10,keyasint,omitempty"`
}

func encodeEvidence(now time.Time, e Evidence) (m evidenceMessage) {
	age := func(at time.Time) int64 { return min(max(0, now.Sub(at).Milliseconds()), maxAgeMillis) }
	for _, s := range e.Suspects {
		m.Suspects = append(m.Suspects, suspectRecord{Start: s.Start, AgeMillis: age(s.At), Fingerprint: s.Fingerprint,
			Parts: s.Parts})
	}
	for _, a := range e.Answers {
		m.Answers = append(m.Answers, answerRecord{Part: a.Part, AgeMillis: age(a.At)})
	}
	for _, c := range e.Convictions {
		m.Convictions = append(m.Convictions, convictionRecord{Part: c.Part, Revision: c.Revision, Lifted: c.Lifted,
			Crashes: c.Crashes, AgeMillis: age(c.At), RefusedAgeMillis: age(c.RefusedAt), RefusedBy: c.RefusedBy,
			Trials: c.Trials, TrialBy: c.TrialBy, TrialAgeMillis: age(c.TrialAt)})
	}
	return m
}

func decodeEvidence(now time.Time, m *evidenceMessage) (e Evidence, err error) {
	if n := max(len(m.Suspects), len(m.Answers), len(m.Convictions)); n > maxEvidenceRecords {
		return e, fmt.Errorf("evidence message has %d records, more than %d", n, maxEvidenceRecords)
	}
	at := func(ageMillis int64) time.Time {
		return now.Add(-time.Duration(min(max(0, ageMillis), maxAgeMillis)) * time.Millisecond)
	}
	for _, r := range m.Suspects {
		if len(r.Start) > maxEvidenceNameBytes || len(r.Parts) > attributor.MaxParts {
			return e, fmt.Errorf("suspect has a name of %d bytes and %d parts", len(r.Start), len(r.Parts))
		}
		e.Suspects = append(e.Suspects, attributor.Suspect{Start: r.Start, At: at(r.AgeMillis), Fingerprint: r.Fingerprint,
			Parts: r.Parts})
	}
	for _, r := range m.Answers {
		e.Answers = append(e.Answers, attributor.Answer{Part: r.Part, At: at(r.AgeMillis)})
	}
	for _, r := range m.Convictions {
		if n := max(len(r.RefusedBy), len(r.TrialBy)); n > maxEvidenceNameBytes {
			return e, fmt.Errorf("conviction has a name of %d bytes", n)
		}
		e.Convictions = append(e.Convictions, attributor.Conviction{Part: r.Part, Revision: r.Revision, Lifted: r.Lifted,
			Crashes: r.Crashes, At: at(r.AgeMillis), RefusedAt: at(r.RefusedAgeMillis), RefusedBy: r.RefusedBy,
			Trials: r.Trials, TrialBy: r.TrialBy, TrialAt: at(r.TrialAgeMillis)})
	}
	return e, nil
}
