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
	contactRetention = 10 * time.Second

	// founderAfter lets all processes of a first start announce themselves to a seed that can't found the group
	// itself; they start within 0.3 s of each other.
	bootstrapDelay = 1500 * time.Millisecond

	// meetTimeout bounds one call to another process.
	discoveryTimeout = 700 * time.Millisecond

	// maxMeetBytes holds the contacts of several thousand processes.
	maxDiscoveryBytes = 1 << 20
)

// introduction is both the question and the answer of a meeting.
type discoveryMessage struct {
	Self              Contact   `cbor:"1,keyasint"`
	QuorateInstances  []Contact `cbor:"2,keyasint,omitempty"`
	EligibleInstances []Contact `cbor:"3,keyasint,omitempty"` // eligible instances
	// Founder names the instance that makes the group at the first start.
	Bootstrapper string `cbor:"4,keyasint,omitempty"`
}

// Meeting is where processes that know only some addresses learn of the others.
type Discovery struct {
	self             Contact
	client           *http.Client
	quorateInstances func() []Contact
	onContacts       func(hubs, peers []Contact)
	// founding is set on the one process that names the founder.
	choosesBootstrapper bool
	started             time.Time

	mu           sync.Mutex
	eligible     map[string]knownContact
	bootstrapper string
}

type knownContact struct {
	Contact
	seenAt time.Time
}

// NewMeeting returns a meeting that knows only itself. hubs returns the control instances known now; learned is called
// with what others say. The process that is founding names the founder of the group.
func NewDiscovery(self Contact, founding bool, hubs func() []Contact, learned func(hubs, peers []Contact)) *Discovery {
	return &Discovery{self: self, choosesBootstrapper: founding, quorateInstances: hubs, onContacts: learned,
		started: time.Now(),
		client:   &http.Client{Timeout: discoveryTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		eligible: map[string]knownContact{}}
}

// Founder returns the name of the instance that makes the group, empty while it isn't known here. An eligible process
// that is founding makes the group itself; else the first one by name of those that announced themselves does.
func (m *Discovery) Bootstrapper() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.bootstrapper != "" || !m.choosesBootstrapper {
		return m.bootstrapper
	}
	if m.self.Eligible {
		m.bootstrapper = m.self.Name
		return m.bootstrapper
	}
	if time.Since(m.started) < bootstrapDelay {
		return ""
	}
	for name := range m.eligible {
		if m.bootstrapper == "" || name < m.bootstrapper {
			m.bootstrapper = name
		}
	}
	return m.bootstrapper
}

// Peers returns the addresses of the eligible instances that are known.
func (m *Discovery) EligibleAddresses() (addresses []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.eligible {
		addresses = append(addresses, p.Address)
	}
	return addresses
}

// ServeHTTP answers another process that introduces itself.
func (m *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxDiscoveryBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var in discoveryMessage
	if err := cbor.Unmarshal(data, &in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	m.merge(in, false)
	out, err := cbor.Marshal(m.newMessage())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(out)
}

func (m *Discovery) newMessage() discoveryMessage {
	in := discoveryMessage{Self: m.self, QuorateInstances: m.quorateInstances(), Bootstrapper: m.Bootstrapper()}
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, p := range m.eligible {
		if time.Since(p.seenAt) > contactRetention {
			delete(m.eligible, name)
			continue
		}
		in.EligibleInstances = append(in.EligibleInstances, p.Contact)
	}
	return in
}

// take learns from an introduction; only one that was asked for may name the founder.
func (m *Discovery) merge(in discoveryMessage, asked bool) {
	peers := in.EligibleInstances
	if in.Self.Eligible {
		peers = append(slices.Clone(peers), in.Self)
	}
	m.mu.Lock()
	for _, p := range peers {
		if p.Name != m.self.Name && p.Name != "" {
			m.eligible[p.Name] = knownContact{p, time.Now()}
		}
	}
	if asked && m.bootstrapper == "" && in.Bootstrapper == m.self.Name {
		m.bootstrapper = in.Bootstrapper
	}
	m.mu.Unlock()
	m.onContacts(in.QuorateInstances, peers)
}

// Meet introduces this process to the one at an address and learns what that one knows.
func (m *Discovery) ExchangeContacts(ctx context.Context, address string) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("meet %s: %w", address, err)
		}
	}()
	body, err := cbor.Marshal(m.newMessage())
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+DiscoveryPath, bytes.NewReader(body))
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
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxDiscoveryBytes))
	if err != nil {
		return err
	}
	var in discoveryMessage
	if err := cbor.Unmarshal(data, &in); err != nil {
		return err
	}
	m.merge(in, true)
	return nil
}
