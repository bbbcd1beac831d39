package control

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cactusroute.dev/adapters/subscriber"
	"cactusroute.dev/core/allocator"
	"cactusroute.dev/core/viewer"
)

const (
	// broadcastInterval is how long soft state is batched before it is sent to the other instances.
	broadcastInterval = 25 * time.Millisecond
	// presenceInterval is how often an instance broadcasts all its processes and the leader checks for lost agents.
	presenceInterval = 500 * time.Millisecond
	// lostAfter is the silence after which an agent is marked as lost, and goneAfter as gone, which is permanent.
	lostAfter = 3 * time.Second
	goneAfter = 30 * time.Second
	// maxConfirmationAge is the age of a quorum confirmation up to which a leader grants shares.
	maxConfirmationAge = time.Second
	// shareGrace is how long after its successor's start a former leader may still grant shares.
	shareGrace          = 1500 * time.Millisecond
	maxSoftMessageBytes = 1 << 20
	// maxInFlight is above the requests in flight at any endpoint; a report of more would move the mean of its pool.
	maxInFlight = 1 << 20
	noLimit     = math.MaxInt32
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
	Name   string           `cbor:"1,keyasint"`
	Report allocator.Report `cbor:"2,keyasint"`
}

type softGrant struct {
	Name  string          `cbor:"1,keyasint"`
	Grant allocator.Grant `cbor:"2,keyasint"`
}

// softMessage carries soft state between control instances; it is neither replicated by the log nor acknowledged.
type softMessage struct {
	Processes []softProcess `cbor:"1,keyasint,omitempty"`
	Loads     []softLoad    `cbor:"2,keyasint,omitempty"`
	Reports   []softReport  `cbor:"3,keyasint,omitempty"`
	Grants    []softGrant   `cbor:"4,keyasint,omitempty"`
}

// knownProcess is a router or agent that sent a message to any instance within goneAfter.
type knownProcess struct {
	subscriber.Process
	instance      string // control instance that received its last message
	lastMessageAt time.Time
}

type poolState struct {
	load    subscriber.PoolLoad
	changed chan struct{}
}

// softState is the soft state of one instance: the reports of its clients and those relayed by other instances.
type softState struct {
	self string
	view func() *viewer.View

	mu          sync.Mutex
	connections map[string]*subscriber.Connection // by processKey
	processes   map[string]knownProcess           // of all instances, by processKey
	loads       map[string]int                    // in flight, by endpoint
	pools       map[string]*poolState
	changed     chan struct{} // closed when any pool changes
	dirty       bool          // pools must be recomputed
	nextMessage softMessage   // for the next broadcast

	allocator     *allocator.Allocator // nil unless this instance leads with a recent quorum confirmation
	allocatorTerm uint64
	limitOf       allocator.LimitFunc
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

func (s *softState) addConnection(conn *subscriber.Connection) {
	id := conn.Identity()
	s.mu.Lock()
	old := s.connections[processKey(&id)]
	s.connections[processKey(&id)] = conn
	s.mu.Unlock()
	if old != nil {
		// The client has abandoned its former connection, which may be half-open.
		old.Close()
	}
}

func (s *softState) removeConnection(conn *subscriber.Connection) {
	id := conn.Identity()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.connections[processKey(&id)] == conn {
		delete(s.connections, processKey(&id))
	}
}

func (s *softState) reportLoad(name string, l subscriber.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.setLoad(name, l.InFlight) {
		return
	}
	s.nextMessage.Loads = append(s.nextMessage.Loads, softLoad{Name: name, InFlight: l.InFlight})
}

// setLoad ignores a load that is none; the caller holds mu.
func (s *softState) setLoad(name string, inFlight int) (changed bool) {
	if inFlight < 0 || inFlight > maxInFlight || s.loads[name] == inFlight {
		return false
	}
	s.loads[name], s.dirty = inFlight, true
	return true
}

// reportDemand handles the report if this instance allocates shares, and otherwise broadcasts it, which reaches the
// leader.
func (s *softState) reportDemand(name string, r allocator.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.allocator == nil {
		s.nextMessage.Reports = append(s.nextMessage.Reports, softReport{Name: name, Report: r})
		return
	}
	s.handleReport(name, r)
}

// handleReport sends the grant to the holder, or broadcasts it if the holder is connected to another instance.
func (s *softState) handleReport(name string, r allocator.Report) {
	g, ok := s.allocator.HandleReport(name, r, time.Now(), s.limitOf)
	if !ok {
		return
	}
	if conn := s.connections[name]; conn != nil {
		conn.SendGrant(g)
		return
	}
	s.nextMessage.Grants = append(s.nextMessage.Grants, softGrant{Name: name, Grant: g})
}

// updateAllocator starts or stops the allocation of shares at this instance.
func (s *softState) updateAllocator(st Status, confirmed time.Time, ok bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !st.IsLeader || !ok || now.Sub(confirmed) > maxConfirmationAge:
		s.allocator = nil
	case s.allocator == nil || s.allocatorTerm != st.Term:
		s.allocator, s.allocatorTerm = allocator.NewAllocator(st.Term, now, shareGrace), st.Term
	}
}

// handleMessage merges the soft state of another instance.
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
		silentMillis := min(max(0, p.SilentMillis), goneAfter.Milliseconds())
		lastMessageAt := now.Add(-time.Duration(silentMillis) * time.Millisecond)
		key := processKey(&p.Identity)
		if old, ok := s.processes[key]; !ok || old.lastMessageAt.Before(lastMessageAt) {
			s.processes[key] = knownProcess{Process: p.Process, instance: from, lastMessageAt: lastMessageAt}
		}
	}
	for _, l := range m.Loads {
		s.setLoad(l.Name, l.InFlight)
	}
	for _, r := range m.Reports {
		if s.allocator != nil {
			s.handleReport(r.Name, r.Report)
		}
	}
	for _, g := range m.Grants {
		if conn := s.connections[g.Name]; conn != nil {
			conn.SendGrant(g.Grant)
		}
	}
}

// refreshProcesses adds the processes of this instance to the next message and deletes those silent for goneAfter.
func (s *softState) refreshProcesses(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, conn := range s.connections {
		p := knownProcess{Process: conn.Process(), instance: s.self, lastMessageAt: conn.LastMessageAt()}
		s.processes[key] = p
		s.nextMessage.Processes = append(s.nextMessage.Processes, softProcess{
			Process: p.Process, SilentMillis: max(0, now.Sub(p.lastMessageAt).Milliseconds()),
		})
		if name := p.Identity.Name; p.Identity.Role == subscriber.RoleAgent {
			s.nextMessage.Loads = append(s.nextMessage.Loads, softLoad{Name: name, InFlight: s.loads[name]})
		}
	}
	maps.DeleteFunc(s.processes, func(_ string, p knownProcess) bool { return now.Sub(p.lastMessageAt) > goneAfter })
	s.dirty = true
}

// takeMessages recomputes changed pool loads and returns the messages for the other instances, if there are any.
func (s *softState) takeMessages() [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dirty {
		s.updatePoolLoads()
		s.dirty = false
	}
	m := s.nextMessage
	s.nextMessage = softMessage{}
	var messages [][]byte
	// At most 2,000 processes per message keep it below maxSoftMessageBytes.
	for processes := range slices.Chunk(m.Processes, 2000) {
		messages = appendEncoded(messages, &softMessage{Processes: processes})
	}
	if len(m.Loads)+len(m.Reports)+len(m.Grants) > 0 {
		m.Processes = nil
		messages = appendEncoded(messages, &m)
	}
	return messages
}

func appendEncoded(list [][]byte, m *softMessage) [][]byte {
	b, err := cbor.Marshal(m)
	if err != nil || len(b) > maxSoftMessageBytes {
		return list
	}
	return append(list, b)
}

// updatePoolLoads computes the mean over the endpoints that may get requests, because the mean bounds the load of
// each.
func (s *softState) updatePoolLoads() {
	v := s.view()
	loads := make(map[string]subscriber.PoolLoad, len(v.Pools))
	for name := range v.Pools {
		loads[name] = subscriber.PoolLoad{Pool: name}
	}
	for _, e := range v.Endpoints {
		p, ok := loads[e.Pool]
		if !ok || e.Lost || !v.IsInService(&e) {
			continue
		}
		p.Members++
		p.Mean += float64(s.loads[e.Name])
		loads[e.Pool] = p
	}
	changed := false
	for name, p := range loads {
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

func (s *softState) poolLoads(pool string) (loads []subscriber.PoolLoad, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if pool == "" {
		for _, name := range slices.Sorted(maps.Keys(s.pools)) {
			loads = append(loads, s.pools[name].load)
		}
		return loads, s.changed
	}
	if p := s.pools[pool]; p != nil {
		return []subscriber.PoolLoad{p.load}, p.changed
	}
	return nil, s.changed
}

// liveProcesses returns the processes that sent a message to any instance within lostAfter, sorted by role and name.
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

// lastMessageAt returns when any instance last received a message of an agent.
func (s *softState) lastMessageAt(agent string) (at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.processes[string(subscriber.RoleAgent)+"/"+agent].lastMessageAt
}

// inFlight returns the requests in flight at the matching endpoints that are not lost.
func (s *softState) inFlight(matches func(e *viewer.Endpoint) bool) (n int) {
	v := s.view()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range v.Endpoints {
		if !e.Lost && matches(&e) {
			n += s.loads[e.Name]
		}
	}
	return n
}

func (s *softState) agentConnections() (list []*subscriber.Connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.connections {
		if conn.Identity().Role == subscriber.RoleAgent {
			list = append(list, conn)
		}
	}
	return list
}

func (s *softState) closeConnections() {
	s.mu.Lock()
	connections := slices.Collect(maps.Values(s.connections))
	s.mu.Unlock()
	for _, conn := range connections {
		conn.Close()
	}
}

func (s *softState) endpointLoads() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.loads)
}
