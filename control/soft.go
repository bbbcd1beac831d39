package control

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cactusroute.dev/adapters/subscriber"
	"cactusroute.dev/core/sharer"
	"cactusroute.dev/core/viewer"
)

const (
	// flushInterval is how long changed soft state is collected before it is sent to the other instances.
	flushInterval = 25 * time.Millisecond
	// roundInterval is how often an instance names all its processes and the leader looks for lost agents.
	roundInterval = 500 * time.Millisecond
	// lostAfter is the silence after which an agent counts as lost, and goneAfter as lost for good.
	lostAfter = 3 * time.Second
	goneAfter = 30 * time.Second
	// confirmLimit is the age of a quorum confirmation up to which a leader gives out shares.
	confirmLimit = time.Second
	// shareGrace is how much later than its successor's start a former leader may give out its last share.
	shareGrace = 1500 * time.Millisecond
	maxSoft    = 1 << 20
	noLimit    = math.MaxInt32
)

type softLoad struct {
	Name     string `cbor:"1,keyasint"`
	InFlight int    `cbor:"2,keyasint"`
}

type softProcess struct {
	subscriber.Process
	SilentMillis int64 `cbor:"10,keyasint,omitempty"`
}

type softReport struct {
	Name   string        `cbor:"1,keyasint"`
	Report sharer.Report `cbor:"2,keyasint"`
}

type softGrant struct {
	Name  string       `cbor:"1,keyasint"`
	Grant sharer.Grant `cbor:"2,keyasint"`
}

// softMessage is what control instances tell each other without a quorum.
type softMessage struct {
	Processes []softProcess `cbor:"1,keyasint,omitempty"`
	Loads     []softLoad    `cbor:"2,keyasint,omitempty"`
	Reports   []softReport  `cbor:"3,keyasint,omitempty"`
	Grants    []softGrant   `cbor:"4,keyasint,omitempty"`
}

type process struct {
	subscriber.Process
	instance string
	heard    time.Time
}

type poolState struct {
	load    subscriber.PoolLoad
	changed chan struct{}
}

// soft is the soft state of one instance: what its clients report and what other instances relay.
type soft struct {
	self string
	view func() *viewer.View

	mu        sync.Mutex
	sessions  map[string]*subscriber.Connection // by role and name
	processes map[string]process                // of all instances
	loads     map[string]int                    // in flight, by endpoint
	pools     map[string]*poolState
	changed   chan struct{} // closed when any pool changes
	dirty     bool
	out       softMessage

	allocator *sharer.Allocator // only at the leader
	term      uint64
	limits    sharer.LimitFunc
}

func newSoft(self string, view func() *viewer.View, permits int) *soft {
	s := &soft{
		self: self, view: view, sessions: map[string]*subscriber.Connection{}, processes: map[string]process{},
		loads: map[string]int{}, pools: map[string]*poolState{}, changed: make(chan struct{}), dirty: true,
	}
	s.limits = func(resource string) (int, bool) {
		if subscriber.IsLoadPermit(resource) {
			return permits, true
		}
		if n := view().Workspaces[resource].MaxInFlight; n > 0 {
			return n, false
		}
		return noLimit, false
	}
	return s
}

func processKey(id *subscriber.Identity) string { return string(id.Role) + "/" + id.Name }

func (s *soft) attach(ses *subscriber.Connection) {
	id := ses.Identity()
	s.mu.Lock()
	old := s.sessions[processKey(&id)]
	s.sessions[processKey(&id)] = ses
	s.mu.Unlock()
	if old != nil {
		// The client has given its former connection up, which may be silent.
		old.Close()
	}
}

func (s *soft) detach(ses *subscriber.Connection) {
	id := ses.Identity()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sessions[processKey(&id)] == ses {
		delete(s.sessions, processKey(&id))
	}
}

func (s *soft) reportLoad(name string, l subscriber.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loads[name] == l.InFlight {
		return
	}
	s.loads[name], s.dirty = l.InFlight, true
	s.out.Loads = append(s.out.Loads, softLoad{Name: name, InFlight: l.InFlight})
}

// reportDemand is answered here by the leader, and relayed to it by any other instance.
func (s *soft) reportDemand(name string, r sharer.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.allocator == nil {
		s.out.Reports = append(s.out.Reports, softReport{Name: name, Report: r})
		return
	}
	s.allocate(name, r)
}

func (s *soft) allocate(name string, r sharer.Report) {
	g, ok := s.allocator.HandleReport(name, r, time.Now(), s.limits)
	if !ok {
		return
	}
	if ses := s.sessions[name]; ses != nil {
		ses.SendGrant(g)
		return
	}
	s.out.Grants = append(s.out.Grants, softGrant{Name: name, Grant: g})
}

// lead starts or stops the allocation of shares at this instance.
func (s *soft) lead(st Status, confirmed time.Time, ok bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !st.IsLeader || !ok || now.Sub(confirmed) > confirmLimit:
		s.allocator = nil
	case s.allocator == nil || s.term != st.Term:
		s.allocator, s.term = sharer.NewAllocator(st.Term, now, shareGrace), st.Term
	}
}

// receive merges what another instance knows.
func (s *soft) receive(from string, b []byte) {
	var m softMessage
	if len(b) > maxSoft || cbor.Unmarshal(b, &m) != nil || from == s.self {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for i := range m.Processes {
		p := &m.Processes[i]
		heard := now.Add(-time.Duration(p.SilentMillis) * time.Millisecond)
		key := processKey(&p.Identity)
		if old, ok := s.processes[key]; !ok || old.heard.Before(heard) {
			s.processes[key] = process{Process: p.Process, instance: from, heard: heard}
		}
	}
	for _, l := range m.Loads {
		if s.loads[l.Name] != l.InFlight {
			s.loads[l.Name], s.dirty = l.InFlight, true
		}
	}
	for _, r := range m.Reports {
		if s.allocator != nil {
			s.allocate(r.Name, r.Report)
		}
	}
	for _, g := range m.Grants {
		if ses := s.sessions[g.Name]; ses != nil {
			ses.SendGrant(g.Grant)
		}
	}
}

// round adds every process of this instance to the next message and forgets silent ones.
func (s *soft) round(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, ses := range s.sessions {
		p := process{Process: ses.Process(), instance: s.self, heard: ses.LastMessageAt()}
		s.processes[key] = p
		s.out.Processes = append(s.out.Processes, softProcess{
			Process: p.Process, SilentMillis: max(0, now.Sub(p.heard).Milliseconds()),
		})
		if name := p.Identity.Name; p.Identity.Role == subscriber.RoleAgent {
			s.out.Loads = append(s.out.Loads, softLoad{Name: name, InFlight: s.loads[name]})
		}
	}
	maps.DeleteFunc(s.processes, func(_ string, p process) bool { return now.Sub(p.heard) > goneAfter })
	s.dirty = true
}

// flush computes changed means and returns the message for the other instances, or nil.
func (s *soft) flush() [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dirty {
		s.means()
		s.dirty = false
	}
	m := s.out
	s.out = softMessage{}
	var list [][]byte
	// A message names at most about 2,000 processes, so that it stays below maxSoft.
	for part := range slices.Chunk(m.Processes, 2000) {
		list = appendSoft(list, &softMessage{Processes: part})
	}
	if len(m.Loads)+len(m.Reports)+len(m.Grants) > 0 {
		m.Processes = nil
		list = appendSoft(list, &m)
	}
	return list
}

func appendSoft(list [][]byte, m *softMessage) [][]byte {
	b, err := cbor.Marshal(m)
	if err != nil || len(b) > maxSoft {
		return list
	}
	return append(list, b)
}

// means counts the endpoints that may get work, because the mean bounds what each of them may get.
func (s *soft) means() {
	v := s.view()
	sums := make(map[string]subscriber.PoolLoad, len(v.Pools))
	for name := range v.Pools {
		sums[name] = subscriber.PoolLoad{Pool: name}
	}
	for _, e := range v.Endpoints {
		p, ok := sums[e.Pool]
		if !ok || e.Lost || !v.IsInService(&e) {
			continue
		}
		p.Members++
		p.Mean += float64(s.loads[e.Name])
		sums[e.Pool] = p
	}
	changed := false
	for name, p := range sums {
		if p.Members > 0 {
			p.Mean /= float64(p.Members)
		}
		old := s.pools[name]
		if old == nil {
			old = &poolState{changed: make(chan struct{})}
			s.pools[name] = old
		} else if old.load == p {
			continue
		}
		old.load, changed = p, true
		close(old.changed)
		old.changed = make(chan struct{})
	}
	if changed {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

func (s *soft) poolLoads(pool string) (list []subscriber.PoolLoad, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if pool == "" {
		for _, name := range slices.Sorted(maps.Keys(s.pools)) {
			list = append(list, s.pools[name].load)
		}
		return list, s.changed
	}
	if p := s.pools[pool]; p != nil {
		return []subscriber.PoolLoad{p.load}, p.changed
	}
	return nil, s.changed
}

// list returns the processes that were heard lately at any instance, ordered by role and name.
func (s *soft) list(now time.Time) (list []process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range slices.Sorted(maps.Keys(s.processes)) {
		if p := s.processes[key]; now.Sub(p.heard) <= lostAfter {
			list = append(list, p)
		}
	}
	return list
}

// heard returns when any instance last heard an agent.
func (s *soft) heard(agent string) (at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.processes[string(subscriber.RoleAgent)+"/"+agent].heard
}

func (s *soft) inFlight(keep func(e *viewer.Endpoint) bool) (n int) {
	v := s.view()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range v.Endpoints {
		if !e.Lost && keep(&e) {
			n += s.loads[e.Name]
		}
	}
	return n
}

func (s *soft) agents() (list []*subscriber.Connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, ses := range s.sessions {
		if ses.Identity().Role == subscriber.RoleAgent {
			list = append(list, ses)
		}
	}
	return list
}

func (s *soft) closeAll() {
	s.mu.Lock()
	list := slices.Collect(maps.Values(s.sessions))
	s.mu.Unlock()
	for _, ses := range list {
		ses.Close()
	}
}

func (s *soft) endpointLoads() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.loads)
}
