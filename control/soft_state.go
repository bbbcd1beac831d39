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
	broadcastInterval = 25 * time.Millisecond
	// roundInterval is how often an instance names all its processes and the leader looks for lost agents.
	presenceInterval = 500 * time.Millisecond
	// lostAfter is the silence after which an agent counts as lost, and goneAfter as lost for good.
	lostAfter = 3 * time.Second
	goneAfter = 30 * time.Second
	// confirmLimit is the age of a quorum confirmation up to which a leader gives out shares.
	maxConfirmationAge = time.Second
	// shareGrace is how much later than its successor's start a former leader may give out its last share.
	shareGrace          = 1500 * time.Millisecond
	maxSoftMessageBytes = 1 << 20
	noLimit             = math.MaxInt32
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

type knownProcess struct {
	subscriber.Process
	instance      string
	lastMessageAt time.Time
}

type poolState struct {
	load    subscriber.PoolLoad
	changed chan struct{}
}

// soft is the soft state of one instance: what its clients report and what other instances relay.
type softState struct {
	self string
	view func() *viewer.View

	mu          sync.Mutex
	connections map[string]*subscriber.Connection // by role and name
	processes   map[string]knownProcess           // of all instances
	loads       map[string]int                    // in flight, by endpoint
	pools       map[string]*poolState
	changed     chan struct{} // closed when any pool changes
	dirty       bool
	outgoing    softMessage

	allocator     *sharer.Allocator // only at the leader
	allocatorTerm uint64
	limitOf       sharer.LimitFunc
}

func newSoftState(self string, view func() *viewer.View, permits int) *softState {
	s := &softState{
		self: self, view: view, connections: map[string]*subscriber.Connection{}, processes: map[string]knownProcess{},
		loads: map[string]int{}, pools: map[string]*poolState{}, changed: make(chan struct{}), dirty: true,
	}
	s.limitOf = func(resource string) (int, bool) {
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

func (s *softState) addConnection(ses *subscriber.Connection) {
	id := ses.Identity()
	s.mu.Lock()
	old := s.connections[processKey(&id)]
	s.connections[processKey(&id)] = ses
	s.mu.Unlock()
	if old != nil {
		// The client has given its former connection up, which may be silent.
		old.Close()
	}
}

func (s *softState) removeConnection(ses *subscriber.Connection) {
	id := ses.Identity()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.connections[processKey(&id)] == ses {
		delete(s.connections, processKey(&id))
	}
}

func (s *softState) reportLoad(name string, l subscriber.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loads[name] == l.InFlight {
		return
	}
	s.loads[name], s.dirty = l.InFlight, true
	s.outgoing.Loads = append(s.outgoing.Loads, softLoad{Name: name, InFlight: l.InFlight})
}

// reportDemand is answered here by the leader, and relayed to it by any other instance.
func (s *softState) reportDemand(name string, r sharer.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.allocator == nil {
		s.outgoing.Reports = append(s.outgoing.Reports, softReport{Name: name, Report: r})
		return
	}
	s.handleReport(name, r)
}

func (s *softState) handleReport(name string, r sharer.Report) {
	g, ok := s.allocator.HandleReport(name, r, time.Now(), s.limitOf)
	if !ok {
		return
	}
	if ses := s.connections[name]; ses != nil {
		ses.SendGrant(g)
		return
	}
	s.outgoing.Grants = append(s.outgoing.Grants, softGrant{Name: name, Grant: g})
}

// lead starts or stops the allocation of shares at this instance.
func (s *softState) updateAllocator(st Status, confirmed time.Time, ok bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !st.IsLeader || !ok || now.Sub(confirmed) > maxConfirmationAge:
		s.allocator = nil
	case s.allocator == nil || s.allocatorTerm != st.Term:
		s.allocator, s.allocatorTerm = sharer.NewAllocator(st.Term, now, shareGrace), st.Term
	}
}

// receive merges what another instance knows.
func (s *softState) handleMessage(from string, b []byte) {
	var m softMessage
	if len(b) > maxSoftMessageBytes || cbor.Unmarshal(b, &m) != nil || from == s.self {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for i := range m.Processes {
		p := &m.Processes[i]
		heard := now.Add(-time.Duration(p.SilentMillis) * time.Millisecond)
		key := processKey(&p.Identity)
		if old, ok := s.processes[key]; !ok || old.lastMessageAt.Before(heard) {
			s.processes[key] = knownProcess{Process: p.Process, instance: from, lastMessageAt: heard}
		}
	}
	for _, l := range m.Loads {
		if s.loads[l.Name] != l.InFlight {
			s.loads[l.Name], s.dirty = l.InFlight, true
		}
	}
	for _, r := range m.Reports {
		if s.allocator != nil {
			s.handleReport(r.Name, r.Report)
		}
	}
	for _, g := range m.Grants {
		if ses := s.connections[g.Name]; ses != nil {
			ses.SendGrant(g.Grant)
		}
	}
}

// round adds every process of this instance to the next message and forgets silent ones.
func (s *softState) refreshProcesses(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, ses := range s.connections {
		p := knownProcess{Process: ses.Process(), instance: s.self, lastMessageAt: ses.LastMessageAt()}
		s.processes[key] = p
		s.outgoing.Processes = append(s.outgoing.Processes, softProcess{
			Process: p.Process, SilentMillis: max(0, now.Sub(p.lastMessageAt).Milliseconds()),
		})
		if name := p.Identity.Name; p.Identity.Role == subscriber.RoleAgent {
			s.outgoing.Loads = append(s.outgoing.Loads, softLoad{Name: name, InFlight: s.loads[name]})
		}
	}
	maps.DeleteFunc(s.processes, func(_ string, p knownProcess) bool { return now.Sub(p.lastMessageAt) > goneAfter })
	s.dirty = true
}

// flush computes changed means and returns the message for the other instances, or nil.
func (s *softState) takeMessages() [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dirty {
		s.updatePoolLoads()
		s.dirty = false
	}
	m := s.outgoing
	s.outgoing = softMessage{}
	var list [][]byte
	// A message names at most about 2,000 processes, so that it stays below maxSoft.
	for part := range slices.Chunk(m.Processes, 2000) {
		list = appendEncoded(list, &softMessage{Processes: part})
	}
	if len(m.Loads)+len(m.Reports)+len(m.Grants) > 0 {
		m.Processes = nil
		list = appendEncoded(list, &m)
	}
	return list
}

func appendEncoded(list [][]byte, m *softMessage) [][]byte {
	b, err := cbor.Marshal(m)
	if err != nil || len(b) > maxSoftMessageBytes {
		return list
	}
	return append(list, b)
}

// means counts the endpoints that may get work, because the mean bounds what each of them may get.
func (s *softState) updatePoolLoads() {
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

func (s *softState) poolLoads(pool string) (list []subscriber.PoolLoad, changed <-chan struct{}) {
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
func (s *softState) liveProcesses(now time.Time) (list []knownProcess) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range slices.Sorted(maps.Keys(s.processes)) {
		if p := s.processes[key]; now.Sub(p.lastMessageAt) <= lostAfter {
			list = append(list, p)
		}
	}
	return list
}

// heard returns when any instance last heard an agent.
func (s *softState) lastMessageAt(agent string) (at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.processes[string(subscriber.RoleAgent)+"/"+agent].lastMessageAt
}

func (s *softState) inFlight(keep func(e *viewer.Endpoint) bool) (n int) {
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

func (s *softState) agentConnections() (list []*subscriber.Connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, ses := range s.connections {
		if ses.Identity().Role == subscriber.RoleAgent {
			list = append(list, ses)
		}
	}
	return list
}

func (s *softState) closeConnections() {
	s.mu.Lock()
	list := slices.Collect(maps.Values(s.connections))
	s.mu.Unlock()
	for _, ses := range list {
		ses.Close()
	}
}

func (s *softState) endpointLoads() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.loads)
}
