package attributor

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"slices"
	"strconv"
	"time"
)

const (
	// newPartThreshold and knownPartThreshold are the numbers of crashes from which a part is convicted: one that has
	// never been answered, and one that was answered before the crashes.
	newPartThreshold   = 2
	knownPartThreshold = 3

	// Grace is how long answers may arrive after a crash before it counts: answers of endpoints that are up, to prompts
	// with a popular part, arrive within it.
	Grace = 250 * time.Millisecond

	// coincidence is the time within which crashes count as one for a part: endpoints that fail together do so for
	// another reason, whatever they were running.
	coincidence = 100 * time.Millisecond

	// restartTime is the minimum time between two crashes of one start of an endpoint. Later reports of the first crash
	// arrive within it.
	restartTime = 2 * time.Second

	// crashRetention is how long a crash counts.
	crashRetention = 10 * time.Minute

	// convictionRetention is how long a conviction holds after the last refused request.
	convictionRetention = 10 * time.Minute

	// LiftRetention is how long the order to lift a conviction counts. It is shorter than convictionRetention, within
	// which the revisions of a part don't begin anew, by more than clocks of machines differ.
	LiftRetention = convictionRetention - time.Minute

	// refusalInterval is how often a refusal extends a conviction at the other nodes.
	refusalInterval = 30 * time.Second

	// trialDelay is the time between a conviction and the first request that may try whether the part is sound, and
	// trialInterval the time until another node may try. With maxTrials, a part that crashes endpoints crashes few more.
	trialDelay    = 2 * time.Second
	trialInterval = 10 * time.Second
	maxTrials     = 2

	// MaxParts bounds the parts of one request that are considered: those at the start and at the end of a longer list.
	MaxParts = 64

	// maxCrashes and maxCrashParts bound the crashes in memory and the parts of the requests in them.
	maxCrashes    = 256
	maxCrashParts = 16_384

	// maxConvictions bounds the convictions in memory; the one that was refused longest ago is dropped.
	maxConvictions = 1024
)

// Part identifies one part of the prompts for one service.
type Part uint64

// NewPart returns the part with an ID in the prompts for a service.
func NewPart(service, id string) Part {
	h := sha256.New()
	_, _ = h.Write([]byte(service))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(id))
	return Part(binary.BigEndian.Uint64(h.Sum(nil)))
}

// String formats a part for logs and operators; ParsePart is its inverse.
func (p Part) String() string { return strconv.FormatUint(uint64(p), 16) }

// ParsePart parses the result of Part.String.
func ParsePart(s string) (Part, error) {
	n, err := strconv.ParseUint(s, 16, 64)
	return Part(n), err
}

// SharedParts returns the parts of a prompt that other requests may share: all but the last one, which is specific to
// the request or its session. At most MaxParts are returned.
func SharedParts(service string, ids []string) []Part {
	if len(ids) < 2 {
		return nil
	}
	ids = ids[:len(ids)-1]
	if len(ids) > MaxParts {
		ids = slices.Concat(ids[:MaxParts/2], ids[len(ids)-MaxParts/2:])
	}
	parts := make([]Part, 0, len(ids))
	for _, id := range ids {
		parts = append(parts, NewPart(service, id))
	}
	return parts
}

// Suspect is a request that awaited its answer at an endpoint when the endpoint crashed.
type Suspect struct {
	Start       string // endpoint and its start time
	At          time.Time
	Fingerprint uint64 // of the whole request; a retry has the same one
	Parts       []Part
}

// Answer is the time of an answer to a prompt with a part.
type Answer struct {
	Part Part
	At   time.Time
}

// Conviction states that requests with a part are refused.
type Conviction struct {
	Part      Part
	Revision  uint64 // a higher one replaces a lower one
	Lifted    bool   // an answer or an operator has shown that the part is sound
	Crashes   int
	At        time.Time // of the conviction
	RefusedAt time.Time // when a request was last refused for it; the time of the conviction before
	RefusedBy string    // node that refused it; empty before
	Trials    int       // that were granted
	TrialBy   string    // node that may send one request with the part, to try whether it is sound
	TrialAt   time.Time // when the last trial was granted
}

// crash is one crash of an endpoint; suspects are the requests that awaited their answers there.
type crash struct {
	start    string
	at       time.Time
	suspects []Suspect
}

func (c *crash) hasFingerprint(fingerprint uint64) bool {
	return slices.ContainsFunc(c.suspects, func(s Suspect) bool { return s.Fingerprint == fingerprint })
}

// partState is the evidence on a part that occurs in a crash.
type partState struct {
	crashes    []*crash  // by time
	answeredAt time.Time // of the last known answer
}

func (p *partState) lastCrash() time.Time { return p.crashes[len(p.crashes)-1].at }

// Attributor holds crashes, answers and convictions; it is not safe for concurrent use. Nodes that exchange what each
// records agree on them, in any order of receipt.
type Attributor struct {
	crashes     []*crash // by time
	parts       map[Part]*partState
	partCount   int // entries of Parts in all suspects
	convictions map[Part]Conviction
	reportedAt  map[Part]time.Time // when a refusal was last reported to the other nodes
	tried       map[Part]uint64    // revision of the conviction of which this node has used the trial
}

// New returns an attributor without evidence.
func New() *Attributor {
	return &Attributor{parts: map[Part]*partState{}, convictions: map[Part]Conviction{},
		reportedAt: map[Part]time.Time{}, tried: map[Part]uint64{}}
}

// RecordSuspect records a suspect and reports whether it is new.
func (a *Attributor) RecordSuspect(s Suspect) (isNew bool) {
	if len(s.Parts) == 0 || len(s.Parts) > MaxParts {
		return false
	}
	c := a.findCrash(s.Start, s.At)
	switch {
	case c == nil:
		c = &crash{start: s.Start, at: s.At}
	case c.hasFingerprint(s.Fingerprint):
		return false
	}
	c.suspects = append(c.suspects, s)
	if len(c.suspects) == 1 {
		a.crashes = insertByTime(a.crashes, c)
	}
	a.partCount += len(s.Parts)
	for _, part := range s.Parts {
		st := a.parts[part]
		if st == nil {
			st = &partState{}
			a.parts[part] = st
		}
		if !slices.Contains(st.crashes, c) {
			st.crashes = insertByTime(st.crashes, c)
		}
	}
	for len(a.crashes) > maxCrashes || a.partCount > maxCrashParts && len(a.crashes) > 1 {
		a.dropOldestCrash()
	}
	return true
}

func (a *Attributor) findCrash(start string, at time.Time) *crash {
	for _, c := range slices.Backward(a.crashes) {
		if c.start == start && c.at.Sub(at).Abs() < restartTime {
			return c
		}
	}
	return nil
}

func insertByTime(list []*crash, c *crash) []*crash {
	i, _ := slices.BinarySearchFunc(list, c, func(a, b *crash) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.start, b.start))
	})
	return slices.Insert(list, i, c)
}

func (a *Attributor) dropOldestCrash() {
	c := a.crashes[0]
	a.crashes = a.crashes[1:]
	for _, s := range c.suspects {
		a.partCount -= len(s.Parts)
		for _, part := range s.Parts {
			st := a.parts[part]
			if st == nil {
				continue // listed twice
			}
			st.crashes = slices.DeleteFunc(st.crashes, func(other *crash) bool { return other == c })
			if len(st.crashes) == 0 {
				delete(a.parts, part)
			}
		}
	}
}

// NeedsAnswer reports whether an answer is new evidence on a part: the first one known, or the first one after the last
// crash.
func (a *Attributor) NeedsAnswer(answer Answer) bool {
	st := a.parts[answer.Part]
	if st == nil {
		c, ok := a.convictions[answer.Part]
		return ok && !c.Lifted && answer.At.After(c.At)
	}
	return st.answeredAt.IsZero() || !st.answeredAt.After(st.lastCrash()) && answer.At.After(st.lastCrash())
}

// RecordAnswer records an answer and reports whether it is new evidence. An answer after the crashes for which a part
// is convicted lifts the conviction, which is then returned.
func (a *Attributor) RecordAnswer(answer Answer) (isNew bool, lifted *Conviction) {
	if !a.NeedsAnswer(answer) {
		return false, nil
	}
	after := a.convictions[answer.Part].At
	if st := a.parts[answer.Part]; st != nil {
		st.answeredAt = answer.At
		after = st.lastCrash()
	}
	if c, ok := a.convictions[answer.Part]; ok && !c.Lifted && answer.At.After(after) {
		c = a.lift(c)
		return true, &c
	}
	return true, nil
}

// Lift is an operator's order to end the conviction of a part up to a revision.
type Lift struct {
	Part     Part   `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
	At       int64  `cbor:"3,keyasint"` // Unix milliseconds
}

// ApplyLift carries out an order, and returns the lifted conviction unless a newer one is known. An order from before
// LiftRetention is ignored: the revisions of the part may have begun anew. The order is kept as a lifted conviction, so
// that an older record of the conviction changes nothing.
func (a *Attributor) ApplyLift(now time.Time, l Lift) (c Conviction, ok bool) {
	c, ok = a.convictions[l.Part]
	if ok && c.Revision > l.Revision || now.UnixMilli()-l.At >= LiftRetention.Milliseconds() {
		return c, false
	}
	if !ok {
		c = Conviction{Part: l.Part, At: now}
	}
	if st := a.parts[l.Part]; st != nil {
		st.answeredAt = now // the crashes so far count no more
	}
	c.Revision, c.RefusedAt = l.Revision, now
	return a.lift(c), true
}

func (a *Attributor) lift(c Conviction) Conviction {
	c.Revision++
	c.Lifted = true
	a.convictions[c.Part] = c
	return c
}

// Evaluate convicts the parts to which the crashes point, and returns the new convictions and those that they replace,
// which are lifted. The part with the strongest evidence is convicted first; crashes that it explains don't count
// against others.
func (a *Attributor) Evaluate(now time.Time) (changed []Conviction) {
	for {
		candidates := a.strongestCandidates(now)
		if len(candidates) == 0 {
			return changed
		}
		for _, cand := range candidates {
			c := Conviction{Part: cand.part, Revision: a.convictions[cand.part].Revision + 1, Crashes: cand.crashes, At: now,
				RefusedAt: now}
			a.convictions[c.Part] = c
			changed = append(changed, c)
			changed = append(changed, a.liftExplained(c.Part)...)
		}
	}
}

// liftExplained lifts the convictions of parts that occur in no crash without the given part.
func (a *Attributor) liftExplained(by Part) (lifted []Conviction) {
	crashes := len(a.parts[by].crashes)
	for part, c := range a.convictions {
		st := a.parts[part]
		if c.Lifted || part == by || st == nil || len(st.crashes) >= crashes {
			continue
		}
		if !slices.ContainsFunc(st.crashes, func(c *crash) bool { return !slices.Contains(a.parts[by].crashes, c) }) {
			lifted = append(lifted, a.lift(c))
		}
	}
	return lifted
}

// candidate is a part with enough crashes for a conviction.
type candidate struct {
	part     Part
	crashes  int
	isNew    bool // no answer is known
	suspects int  // with the part, in all crashes
	position int  // in a prompt
}

func (c candidate) threshold() int {
	if c.isNew {
		return newPartThreshold
	}
	return knownPartThreshold
}

// compareEvidence orders candidates by their crashes in relation to the threshold. If these are equal, the evidence is
// stronger for a part without answers, then for one of fewer requests, then for one that comes later in the prompt: the
// parts before it are shared by more requests.
func compareEvidence(a, b candidate) int {
	isNew := 0
	switch {
	case a.isNew && !b.isNew:
		isNew = 1
	case b.isNew && !a.isNew:
		isNew = -1
	}
	return cmp.Or(cmp.Compare(a.crashes*b.threshold(), b.crashes*a.threshold()), isNew,
		cmp.Compare(b.suspects, a.suspects), cmp.Compare(a.position, b.position))
}

// strongestCandidates returns the candidates with the strongest evidence, several if it is equal.
func (a *Attributor) strongestCandidates(now time.Time) (strongest []candidate) {
	explained := map[*crash]bool{}
	for _, c := range a.crashes {
		explained[c] = a.isExplained(c)
	}
	for part, st := range a.parts {
		if a.IsConvicted(part) {
			continue
		}
		cand := candidate{part: part, isNew: st.answeredAt.IsZero(),
			crashes: st.countCrashes(part, now.Add(-Grace), explained)}
		if cand.crashes < cand.threshold() {
			continue
		}
		cand.suspects, cand.position = st.countSuspects(part)
		if len(strongest) > 0 {
			d := compareEvidence(cand, strongest[0])
			if d < 0 {
				continue
			}
			if d > 0 {
				strongest = nil
			}
		}
		strongest = append(strongest, cand)
	}
	if len(strongest) > 1 && strongest[0].crashes < knownPartThreshold {
		return nil // one more crash will tell which of them it is
	}
	return strongest
}

// isExplained reports whether a request in the crash has a convicted part.
func (a *Attributor) isExplained(c *crash) bool {
	return slices.ContainsFunc(c.suspects, func(s Suspect) bool { return slices.ContainsFunc(s.Parts, a.IsConvicted) })
}

// countCrashes counts the crashes up to a time that point to the part: since its last answer, not explained by another
// part, each of another endpoint during another request, and not at the same time.
func (p *partState) countCrashes(part Part, until time.Time, explained map[*crash]bool) int {
	var last time.Time
	starts, fingerprints := map[string]bool{}, map[uint64]bool{}
	for _, c := range p.crashes {
		if c.at.After(until) || p.answeredAt.After(c.at) || explained[c] || starts[c.start] {
			continue
		}
		if len(starts) > 0 && c.at.Sub(last) < coincidence {
			continue
		}
		i := slices.IndexFunc(c.suspects, func(s Suspect) bool {
			return !fingerprints[s.Fingerprint] && slices.Contains(s.Parts, part)
		})
		if i < 0 {
			continue
		}
		last = c.at
		starts[c.start], fingerprints[c.suspects[i].Fingerprint] = true, true
	}
	return len(starts)
}

// countSuspects returns the number of suspects with the part in all crashes, and its highest position in their prompts.
func (p *partState) countSuspects(part Part) (n, position int) {
	for _, c := range p.crashes {
		for _, s := range c.suspects {
			if i := slices.Index(s.Parts, part); i >= 0 {
				n++
				position = max(position, i)
			}
		}
	}
	return n, position
}

// IsConvicted reports whether requests with a part are refused.
func (a *Attributor) IsConvicted(part Part) bool {
	c, ok := a.convictions[part]
	return ok && !c.Lifted
}

// MergeConviction records a conviction of another node, and reports whether it changes what is known here. Of two with
// the same revision, a lifted one replaces the other: a trial was granted while an answer arrived.
func (a *Attributor) MergeConviction(c Conviction) (changed bool) {
	known, ok := a.convictions[c.Part]
	switch {
	case !ok || c.Revision > known.Revision || c.Revision == known.Revision && c.Lifted && !known.Lifted:
		if known.RefusedAt.After(c.RefusedAt) {
			c.RefusedAt, c.RefusedBy = known.RefusedAt, known.RefusedBy
		}
		a.convictions[c.Part] = c
		return true
	case known.RefusedBy == "" && c.RefusedBy != "" || c.RefusedAt.Sub(known.RefusedAt) >= refusalInterval/2:
		known.RefusedAt, known.RefusedBy = c.RefusedAt, c.RefusedBy
		a.convictions[c.Part] = known
		return true
	}
	return false
}

// GrantTrials grants trials of convicted parts that are still requested. Only one node may call it.
func (a *Attributor) GrantTrials(now time.Time) (changed []Conviction) {
	for _, c := range a.Convictions() {
		due := c.At.Add(trialDelay)
		if c.Trials > 0 {
			due = c.TrialAt.Add(trialInterval)
		}
		st := a.parts[c.Part]
		hasFailed := c.Trials > 0 && st != nil && st.lastCrash().After(c.TrialAt)
		if c.Lifted || c.RefusedBy == "" || c.Trials >= maxTrials || now.Before(due) || hasFailed {
			continue
		}
		c.Revision++
		c.Trials, c.TrialBy, c.TrialAt = c.Trials+1, c.RefusedBy, now
		a.convictions[c.Part] = c
		changed = append(changed, c)
	}
	return changed
}

// TakeTrial reports whether the node may send a request with a convicted part, which uses up its trial.
func (a *Attributor) TakeTrial(node string, part Part) bool {
	c := a.convictions[part]
	if c.Lifted || c.TrialBy != node || a.tried[part] >= c.Revision {
		return false
	}
	a.tried[part] = c.Revision
	return true
}

// Conviction returns the last conviction of a part; ok is false if there is none.
func (a *Attributor) Conviction(part Part) (c Conviction, ok bool) {
	c, ok = a.convictions[part]
	return c, ok
}

// RecordRefusal extends a conviction because a request was refused for it. It returns the conviction if the other nodes
// are to be told.
func (a *Attributor) RecordRefusal(now time.Time, node string, part Part) (c Conviction, report bool) {
	c, ok := a.convictions[part]
	if !ok {
		return c, false
	}
	c.RefusedAt, c.RefusedBy = now, node
	a.convictions[part] = c
	if now.Sub(a.reportedAt[part]) < refusalInterval {
		return c, false
	}
	a.reportedAt[part] = now
	return c, true
}

// Expire drops evidence and convictions that are past their retention, and returns the latter.
func (a *Attributor) Expire(now time.Time) (ended []Conviction) {
	for len(a.crashes) > 0 && now.Sub(a.crashes[0].at) > crashRetention {
		a.dropOldestCrash()
	}
	for part, c := range a.convictions {
		if now.Sub(c.RefusedAt) > convictionRetention {
			delete(a.convictions, part)
			ended = append(ended, c)
		}
	}
	for len(a.convictions) > maxConvictions {
		oldest := slices.MinFunc(a.Convictions(), func(a, b Conviction) int { return a.RefusedAt.Compare(b.RefusedAt) })
		delete(a.convictions, oldest.Part)
		ended = append(ended, oldest)
	}
	isForgotten := func(part Part) bool { _, ok := a.convictions[part]; return !ok }
	maps.DeleteFunc(a.reportedAt, func(part Part, _ time.Time) bool { return isForgotten(part) })
	maps.DeleteFunc(a.tried, func(part Part, _ uint64) bool { return isForgotten(part) })
	return ended
}

// Suspects returns all suspects, by time.
func (a *Attributor) Suspects() (list []Suspect) {
	for _, c := range a.crashes {
		list = append(list, c.suspects...)
	}
	return list
}

// Answers returns the last known answer of each part that occurs in a crash.
func (a *Attributor) Answers() (list []Answer) {
	for part, st := range a.parts {
		if !st.answeredAt.IsZero() {
			list = append(list, Answer{Part: part, At: st.answeredAt})
		}
	}
	return list
}

// Convictions returns all convictions, also lifted ones, by part.
func (a *Attributor) Convictions() []Conviction {
	return slices.SortedFunc(maps.Values(a.convictions), func(a, b Conviction) int { return cmp.Compare(a.Part, b.Part) })
}
