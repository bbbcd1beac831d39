package exchanger

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	// contactFor is how long a process is remembered that no longer announces itself.
	contactFor = 10 * time.Second

	// founderAfter lets all processes of a first start announce themselves to a seed that can't found the group
	// itself; they start within 0.3 s of each other.
	founderAfter = 1500 * time.Millisecond

	// meetTimeout bounds one call to another process.
	meetTimeout = 700 * time.Millisecond

	// maxMeetBytes holds the contacts of several thousand processes.
	maxMeetBytes = 1 << 20
)

// introduction is both the question and the answer of a meeting.
type introduction struct {
	Self  Contact   `cbor:"1,keyasint"`
	Hubs  []Contact `cbor:"2,keyasint,omitempty"`
	Peers []Contact `cbor:"3,keyasint,omitempty"` // eligible instances
	// Founder names the instance that makes the group at the first start.
	Founder string `cbor:"4,keyasint,omitempty"`
}

// Meeting is where processes that know only some addresses learn of the others.
type Meeting struct {
	self    Contact
	client  *http.Client
	hubs    func() []Contact
	learned func(hubs, peers []Contact)
	// founding is set on the one process that names the founder.
	founding bool
	started  time.Time

	mu      sync.Mutex
	peers   map[string]heardContact
	founder string
}

type heardContact struct {
	Contact
	at time.Time
}

// NewMeeting returns a meeting that knows only itself. hubs returns the control instances known now; learned is called
// with what others say. The process that is founding names the founder of the group.
func NewMeeting(self Contact, founding bool, hubs func() []Contact, learned func(hubs, peers []Contact)) *Meeting {
	return &Meeting{self: self, founding: founding, hubs: hubs, learned: learned, started: time.Now(),
		client: &http.Client{Timeout: meetTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		peers:  map[string]heardContact{}}
}

// Founder returns the name of the instance that makes the group, empty while it isn't known here. An eligible process
// that is founding makes the group itself; else the first one by name of those that announced themselves does.
func (m *Meeting) Founder() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.founder != "" || !m.founding {
		return m.founder
	}
	if m.self.Eligible {
		m.founder = m.self.Name
		return m.founder
	}
	if time.Since(m.started) < founderAfter {
		return ""
	}
	for name := range m.peers {
		if m.founder == "" || name < m.founder {
			m.founder = name
		}
	}
	return m.founder
}

// Peers returns the addresses of the eligible instances that are known.
func (m *Meeting) Peers() (addresses []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		addresses = append(addresses, p.Address)
	}
	return addresses
}

// ServeHTTP answers another process that introduces itself.
func (m *Meeting) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMeetBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var in introduction
	if err := cbor.Unmarshal(data, &in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	m.take(in, false)
	out, err := cbor.Marshal(m.introduce())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(out)
}

func (m *Meeting) introduce() introduction {
	in := introduction{Self: m.self, Hubs: m.hubs(), Founder: m.Founder()}
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, p := range m.peers {
		if time.Since(p.at) > contactFor {
			delete(m.peers, name)
			continue
		}
		in.Peers = append(in.Peers, p.Contact)
	}
	return in
}

// take learns from an introduction; only one that was asked for may name the founder.
func (m *Meeting) take(in introduction, asked bool) {
	peers := in.Peers
	if in.Self.Eligible {
		peers = append(slices.Clone(peers), in.Self)
	}
	m.mu.Lock()
	for _, p := range peers {
		if p.Name != m.self.Name && p.Name != "" {
			m.peers[p.Name] = heardContact{p, time.Now()}
		}
	}
	if asked && m.founder == "" && in.Founder == m.self.Name {
		m.founder = in.Founder
	}
	m.mu.Unlock()
	m.learned(in.Hubs, peers)
}

// Meet introduces this process to the one at an address and learns what that one knows.
func (m *Meeting) Meet(ctx context.Context, address string) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("meet %s: %w", address, err)
		}
	}()
	body, err := cbor.Marshal(m.introduce())
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+MeetPath, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := m.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %s", resp.Status)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxMeetBytes))
	if err != nil {
		return err
	}
	var in introduction
	if err := cbor.Unmarshal(data, &in); err != nil {
		return err
	}
	m.take(in, true)
	return nil
}
