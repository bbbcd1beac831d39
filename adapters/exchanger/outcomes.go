package exchanger

import (
	"context"
	"encoding/binary"
	"errors"
	"maps"
	"sync"
	"time"

	"cactusroute.dev/adapters/messenger"
	"cactusroute.dev/core/rollouter"
)

const (
	// outcomeInterval is the time between two messages about rollouts while their counts change, and
	// outcomeRefreshInterval that while they do not: the receiver must know that the sender is still there.
	outcomeInterval        = 250 * time.Millisecond
	outcomeRefreshInterval = 700 * time.Millisecond

	// outcomeTTL is how long counts are used after they were received: a sender that is silent may have gone on.
	outcomeTTL = 3 * time.Second

	// maxOutcomeRecords bounds the records in a message; a service has some routes and some endpoints of its target.
	maxOutcomeRecords = 20_000

	// maxOutcomeNameBytes bounds the names in a record.
	maxOutcomeNameBytes = 256
)

// Outcomes is what routers have counted of the answers of services in a rollout.
type Outcomes = rollouter.Report

// outcomesMessage is an encoded Outcomes.
type outcomesMessage struct {
	Index   uint64          `cbor:"1,keyasint"`
	Routers int             `cbor:"2,keyasint"`
	Records []outcomeRecord `cbor:"3,keyasint,omitempty"`
}

// outcomeRecord has the counts of one key. Its histograms are varint pairs of each bucket that is not empty: the
// difference of its number to that of the last one, and its count.
type outcomeRecord struct {
	Key     rollouter.Key `cbor:"1,keyasint"`
	Answers uint32        `cbor:"2,keyasint"`
	Failed  uint32        `cbor:"3,keyasint,omitempty"`
	First   []byte        `cbor:"4,keyasint,omitempty"`
	Pace    []byte        `cbor:"5,keyasint,omitempty"`
	Whole   []byte        `cbor:"6,keyasint,omitempty"`
}

func encodeOutcomes(o *Outcomes) outcomesMessage {
	m := outcomesMessage{Index: o.Index, Routers: o.Routers}
	for k, c := range o.Counts {
		m.Records = append(m.Records, outcomeRecord{Key: k, Answers: c.Answers, Failed: c.Failed,
			First: encodeHistogram(&c.First), Pace: encodeHistogram(&c.Pace),
			Whole: encodeHistogram(&c.Whole)})
	}
	return m
}

var errInvalidOutcomes = errors.New("invalid encoding of counted answers")

func (m *outcomesMessage) decode() (o Outcomes, err error) {
	if len(m.Records) > maxOutcomeRecords || m.Routers < 0 || m.Routers > maxRouters {
		return o, errInvalidOutcomes
	}
	o = Outcomes{Index: m.Index, Routers: m.Routers, Counts: make(rollouter.Outcomes, len(m.Records))}
	for _, r := range m.Records {
		c := rollouter.Counts{Answers: r.Answers, Failed: r.Failed}
		longest := max(len(r.Key.Service), len(r.Key.Route), len(r.Key.Version), len(r.Key.Endpoint))
		if longest > maxOutcomeNameBytes || !decodeHistogram(r.First, &c.First) || !decodeHistogram(r.Pace, &c.Pace) ||
			!decodeHistogram(r.Whole, &c.Whole) {
			return Outcomes{}, errInvalidOutcomes
		}
		o.Counts[r.Key] = c
	}
	return o, nil
}

func encodeHistogram(h *rollouter.Histogram) (encoded []byte) {
	last := 0
	for i, n := range h {
		if n > 0 {
			encoded = binary.AppendUvarint(encoded, uint64(i-last))
			encoded = binary.AppendUvarint(encoded, uint64(n))
			last = i
		}
	}
	return encoded
}

func decodeHistogram(encoded []byte, h *rollouter.Histogram) (ok bool) {
	bucket := uint64(0)
	for len(encoded) > 0 {
		delta, n := binary.Uvarint(encoded)
		if n <= 0 || delta >= rollouter.Buckets {
			return false
		}
		count, k := binary.Uvarint(encoded[n:])
		bucket += delta
		if k <= 0 || bucket >= rollouter.Buckets || count > maxRequests {
			return false
		}
		h[bucket] = uint32(count)
		encoded = encoded[n+k:]
	}
	return true
}

// outcomeSender decides when counts are sent in one direction of a connection.
type outcomeSender struct {
	lastSent Outcomes
	sentAt   time.Time
}

func (s *outcomeSender) isDue(now time.Time, o *Outcomes) bool {
	age := now.Sub(s.sentAt)
	switch {
	case o.IsEmpty():
		return !s.lastSent.IsEmpty() // the sums are withdrawn
	case o.Index != s.lastSent.Index || o.Routers != s.lastSent.Routers || age >= outcomeRefreshInterval:
		return true
	}
	return age >= outcomeInterval && !maps.Equal(o.Counts, s.lastSent.Counts)
}

func (s *outcomeSender) newMessage(now time.Time, o *Outcomes) outcomesMessage {
	s.lastSent, s.sentAt = *o, now
	return encodeOutcomes(o)
}

// reportOutcomes sends the instance what this process has counted.
func (s *Subscription) reportOutcomes(ctx context.Context, r Receiver, sender *outcomeSender) error {
	table, _, isReported := r.Outcomes()
	if !isReported {
		return nil
	}
	now := time.Now()
	o := table.Own()
	if !sender.isDue(now, &o) {
		return nil
	}
	return s.conn.Send(ctx, kindOutcomes, 0, sender.newMessage(now, &o))
}

// sendOutcomes sends another control instance what this one and its routers have counted.
func (s *Server) sendOutcomes(ctx context.Context, sub *subscriber, sender *outcomeSender) error {
	if !sub.contact.Eligible {
		return nil
	}
	now := time.Now()
	o := s.source.Outcomes().Sum(false)
	if !sender.isDue(now, &o) {
		return nil
	}
	return sub.conn.Send(ctx, kindOutcomes, 0, sender.newMessage(now, &o))
}

// OutcomeTable holds what a process has counted and, at a control instance, the counts that it receives from its
// routers and from other control instances. It is safe for concurrent use.
type OutcomeTable struct {
	// Own returns what this process has counted.
	Own func() Outcomes

	mu      sync.Mutex
	senders map[outcomeSource]receivedOutcomes
}

type outcomeSource struct {
	name   string
	isPeer bool
}

type receivedOutcomes struct {
	Outcomes

	at time.Time
}

// receive decodes a message and records its counts.
func (t *OutcomeTable) receive(e *messenger.Envelope, name string, isPeer bool) error {
	var m outcomesMessage
	if err := e.Decode(&m); err != nil {
		return err
	}
	o, err := m.decode()
	if err == nil {
		t.Set(name, isPeer, o)
	}
	return err
}

// Set records the counts of a sender in place of its earlier ones.
func (t *OutcomeTable) Set(name string, isPeer bool, o Outcomes) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.senders == nil {
		t.senders = map[outcomeSource]receivedOutcomes{}
	}
	t.senders[outcomeSource{name, isPeer}] = receivedOutcomes{o, time.Now()}
}

// Sum returns the sum of own counts and those of the routers, and of the other control instances if they are included.
func (t *OutcomeTable) Sum(includesPeers bool) (sum Outcomes) {
	own := t.Own()
	t.mu.Lock()
	defer t.mu.Unlock()
	sum.Add(&own)
	now := time.Now()
	for source, o := range t.senders {
		switch {
		case now.Sub(o.at) > outcomeTTL:
			delete(t.senders, source)
		case includesPeers || !source.isPeer:
			sum.Add(&o.Outcomes)
		}
	}
	return sum
}
