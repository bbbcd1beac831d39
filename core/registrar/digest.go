package registrar

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// DigestBuckets is the number of groups into which records are divided by ID.
const DigestBuckets = 256

// Digests holds for each group of records a digest of what affects routing, so that two processes find out which groups
// differ. Sequence numbers are left out, because they change with each heartbeat, and the rest of a warm-up.
type Digests [DigestBuckets]uint32

// DigestsOf returns the digests of records with distinct IDs.
func DigestsOf(list []Endpoint) (d Digests) {
	for i := range list {
		d[BucketOf(list[i].ID)] ^= list[i].digest()
	}
	return d
}

// BucketOf returns the group of an endpoint.
func BucketOf(id string) int { return int(xxhash.Sum64String(id) % DigestBuckets) }

func (e *Endpoint) digest() uint32 {
	var h xxhash.Digest
	h.Reset()
	var n [8]byte
	for _, s := range []string{e.ID, e.Service, e.Address, e.Domain, e.Version} {
		binary.LittleEndian.PutUint64(n[:], uint64(len(s)))
		_, _ = h.Write(n[:])
		_, _ = h.WriteString(s)
	}
	for _, v := range []int64{int64(e.Slots), int64(e.State), e.Born} {
		binary.LittleEndian.PutUint64(n[:], uint64(v))
		_, _ = h.Write(n[:])
	}
	return uint32(h.Sum64())
}

// Unknown returns the records that a process lacks or knows differently, given what it has sent of some groups.
func Unknown(known, sent []Endpoint, isSent func(bucket int) bool) (list []Endpoint) {
	digests := make(map[string]uint32, len(sent))
	for i := range sent {
		digests[sent[i].ID] = sent[i].digest()
	}
	for i := range known {
		e := &known[i]
		if !isSent(BucketOf(e.ID)) {
			continue
		}
		if d, ok := digests[e.ID]; !ok || d != e.digest() {
			list = append(list, *e)
		}
	}
	return list
}
