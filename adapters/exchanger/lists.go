package exchanger

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"maps"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cactusroute.dev/adapters/messenger"
	"cactusroute.dev/core/registrar"
)

const (
	// packedRecords is the number of records from which all are sent in the packed list of the subscribers.
	packedRecords = 300

	// maxListAge is how long a packed list is used, with the changes since. Records have the rest of their warm-up in it.
	maxListAge = 300 * time.Millisecond
)

// listPacker encodes and compresses the list of all endpoints once for the subscribers of a short time: after a
// failure, dozens subscribe in a second, and with 3,000 endpoints the list has 400 kB.
type listPacker struct {
	mu     sync.Mutex
	packed []byte // nil if there is none
	at     time.Time
	since  map[string]registrar.Endpoint // changed since then, by ID
}

// record records changes before they are published to the subscribers.
func (p *listPacker) record(changed []registrar.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.packed == nil {
		return
	}
	for _, e := range changed {
		p.since[e.ID] = e
	}
	if len(p.since) > packedRecords {
		p.packed, p.since = nil, nil
	}
}

// pack returns the packed list and the changes since it was made.
func (p *listPacker) pack(
	now time.Time, list func() []registrar.Endpoint,
) (packed []byte, since map[string]registrar.Endpoint, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.packed != nil && now.Sub(p.at) < maxListAge {
		return p.packed, maps.Clone(p.since), nil
	}
	records, err := cbor.Marshal(encodeEndpoints(now, list()))
	if err != nil {
		return nil, nil, fmt.Errorf("encode endpoints: %w", err)
	}
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err == nil {
		_, err = w.Write(records)
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		return nil, nil, fmt.Errorf("compress endpoints: %w", err)
	}
	p.packed, p.at, p.since = buf.Bytes(), now, map[string]registrar.Endpoint{}
	return p.packed, nil, nil
}

var errListTooLarge = errors.New("list of endpoints exceeds the maximum message size")

// unpack replaces a packed list by its records.
func (m *receivedEndpointsMessage) unpack() (err error) {
	if len(m.Packed) == 0 {
		return nil
	}
	r := flate.NewReader(bytes.NewReader(m.Packed))
	defer func() { err = errors.Join(err, r.Close()) }()
	content, err := io.ReadAll(io.LimitReader(r, maxMessageBytes+1))
	if err != nil {
		return fmt.Errorf("decompress endpoints: %w", err)
	}
	if len(content) > maxMessageBytes {
		return errListTooLarge
	}
	return (&messenger.Envelope{Kind: kindEndpoints, Body: content}).Decode(&m.Records)
}

// isSent reports whether the message has the records of a group; all have those of earlier releases.
func (m *receivedEndpointsMessage) isSent(bucket int) bool {
	return len(m.Groups) != registrar.DigestBuckets/8 || m.Groups[bucket/8]&(1<<(bucket%8)) != 0
}

func encodeDigests(d *registrar.Digests) []byte {
	encoded := make([]byte, 0, 4*len(d))
	for _, n := range d {
		encoded = binary.BigEndian.AppendUint32(encoded, n)
	}
	return encoded
}

// differingGroups returns the groups of records whose digests differ from those of a subscriber, as a bitmap.
func differingGroups(encoded []byte, own *registrar.Digests) []byte {
	groups := make([]byte, registrar.DigestBuckets/8)
	for i, n := range own {
		if len(encoded) != 4*len(own) || binary.BigEndian.Uint32(encoded[4*i:]) != n {
			groups[i/8] |= 1 << (i % 8)
		}
	}
	return groups
}

// newList returns the first message with endpoints: the records of the groups in which the subscriber's differ. Changes
// since the packed list was made become pending.
func (s *Server) newList(now time.Time, sub *subscriber, h *helloMessage) (m endpointsMessage, err error) {
	list := s.source.Endpoints()
	m.Full = true
	if !h.TakesGroups {
		m.Records = encodeEndpoints(now, list)
		return m, nil
	}
	digests := registrar.DigestsOf(list)
	m.Groups = differingGroups(h.Digests, &digests)
	differing := make([]registrar.Endpoint, 0, len(list))
	for _, e := range list {
		if bucket := registrar.BucketOf(e.ID); m.Groups[bucket/8]&(1<<(bucket%8)) != 0 {
			differing = append(differing, e)
		}
	}
	if len(differing) < packedRecords {
		m.Records = encodeEndpoints(now, differing)
		return m, nil
	}
	var since map[string]registrar.Endpoint
	if m.Packed, since, err = s.lists.pack(now, s.source.Endpoints); err != nil {
		return m, err
	}
	sub.mu.Lock()
	defer sub.mu.Unlock()
	for _, e := range since {
		if _, isNewer := sub.pending[e.ID]; !isNewer {
			sub.addPending(e)
		}
	}
	return m, nil
}

// reportUnknown sends the instance what it lacks of the endpoints known at the begin of the subscription.
func (s *Subscription) reportUnknown(
	ctx context.Context, m *receivedEndpointsMessage, sent []registrar.Endpoint,
) error {
	unknown := registrar.Unknown(s.known, sent, m.isSent)
	s.known = nil
	if len(unknown) == 0 {
		return nil
	}
	return s.ReportEndpoints(ctx, unknown)
}
