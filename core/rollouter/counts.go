package rollouter

import (
	"math"
	"time"
)

const (
	// Buckets is the number of buckets of a Histogram; the last one begins at 7 s.
	Buckets = 52

	bucketsPerOctave = 4
)

// Histogram counts durations in buckets of quarter octaves from 1 ms on.
type Histogram [Buckets]uint32

func (h *Histogram) add(d time.Duration) {
	ms := max(1, float64(d)/float64(time.Millisecond))
	h[min(Buckets-1, int(bucketsPerOctave*math.Log2(ms)))]++
}

func (h *Histogram) total() (n float64) {
	for _, c := range h {
		n += float64(c)
	}
	return n
}

// quantile returns the bucket of a quantile.
func (h *Histogram) quantile(q float64) int {
	below, n := q*h.total(), 0.0
	for i, c := range h {
		if n += float64(c); n >= below {
			return i
		}
	}
	return Buckets - 1
}

// upperBound returns the end of a bucket.
func upperBound(bucket int) time.Duration {
	return time.Duration(math.Exp2(float64(bucket+1)/bucketsPerOctave) * float64(time.Millisecond))
}

// from returns the number of durations in a bucket and the later ones.
func (h *Histogram) from(bucket int) (n float64) {
	for i := min(bucket, Buckets); i < Buckets; i++ {
		n += float64(h[i])
	}
	return n
}

// Key identifies the endpoints whose answers are counted together.
type Key struct {
	Service  string `cbor:"1,keyasint"`
	Route    string `cbor:"2,keyasint"`
	Version  string `cbor:"3,keyasint"`
	Endpoint string `cbor:"4,keyasint,omitempty"` // only of the target version
}

// Counts are the answers that callers saw since the beginning of a rollout.
type Counts struct {
	Answers uint32    `cbor:"1,keyasint"`
	Failed  uint32    `cbor:"2,keyasint,omitempty"`
	First   Histogram `cbor:"3,keyasint"` // time to the first event, or to the end of an answer without events
	Pace    Histogram `cbor:"4,keyasint"` // mean time between the events of a stream
	Whole   Histogram `cbor:"5,keyasint"` // time to the end
}

// Outcomes holds counts by key.
type Outcomes map[Key]Counts

// Add adds other counts.
func (o Outcomes) Add(other Outcomes) {
	for k, c := range other {
		sum := o[k]
		sum.add(&c)
		o[k] = sum
	}
}

// Report is what routers have counted of running rollouts.
type Report struct {
	// Index is the oldest state in force at these routers, and Routers their number.
	Index   uint64
	Routers int
	Counts  Outcomes
}

// IsEmpty reports whether there is nothing to tell.
func (r *Report) IsEmpty() bool { return r.Routers == 0 }

// Add adds what other routers have counted.
func (r *Report) Add(other *Report) {
	if other.IsEmpty() {
		return
	}
	if r.IsEmpty() || other.Index < r.Index {
		r.Index = other.Index
	}
	r.Routers += other.Routers
	if r.Counts == nil {
		r.Counts = Outcomes{}
	}
	r.Counts.Add(other.Counts)
}

// since returns the counts that were added after earlier ones. A router that is no longer heard of takes its counts
// away, so that less may remain than there was.
func (o Outcomes) since(earlier Outcomes) Outcomes {
	list := make(Outcomes, len(o))
	for k, c := range o {
		e := earlier[k]
		c.Answers, c.Failed = minus(c.Answers, e.Answers), minus(c.Failed, e.Failed)
		for i := range Buckets {
			c.First[i], c.Pace[i] = minus(c.First[i], e.First[i]), minus(c.Pace[i], e.Pace[i])
			c.Whole[i] = minus(c.Whole[i], e.Whole[i])
		}
		list[k] = c
	}
	return list
}

func minus(a, b uint32) uint32 { return a - min(a, b) }

func (c *Counts) add(other *Counts) {
	c.Answers += other.Answers
	c.Failed += other.Failed
	for i := range Buckets {
		c.First[i] += other.First[i]
		c.Pace[i] += other.Pace[i]
		c.Whole[i] += other.Whole[i]
	}
}
