package exchanger

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	// contactRetention is how long the contact of an eligible instance is kept after it was last reported.
	contactRetention = 10 * time.Second

	// bootstrapDelay is how long a process that can't bootstrap the control group itself collects contacts before it
	// chooses the bootstrapper. The processes of a first start begin within 0.3 s of each other.
	bootstrapDelay = 1500 * time.Millisecond

	// discoveryTimeout bounds one exchange of contacts.
	discoveryTimeout = 700 * time.Millisecond

	// discoveryConnectTimeout bounds the TCP connect of an exchange, which the kernel of a running machine answers even if
	// the process is busy. If the machine is not up yet, the kernel here would repeat its lost packet after a second only.
	discoveryConnectTimeout = 300 * time.Millisecond

	// maxDiscoveryBytes is enough for the contacts of several thousand processes.
	maxDiscoveryBytes = 1 << 20
)

// discoveryMessage is both the request and the response of an exchange of contacts.
type discoveryMessage struct {
	Self              Contact   `cbor:"1,keyasint"`
	QuorateInstances  []Contact `cbor:"2,keyasint,omitempty"`
	EligibleInstances []Contact `cbor:"3,keyasint,omitempty"`
	// Bootstrapper is the name of the instance that bootstraps the control group at the first start.
	Bootstrapper string `cbor:"4,keyasint,omitempty"`
}

// Discovery exchanges contacts with other processes, so that one that knows only a few addresses finds the rest.
type Discovery struct {
	self             Contact
	client           *http.Client
	quorateInstances func() []Contact
	onContacts       func(quorate, eligible []Contact)
	// choosesBootstrapper is set on the one process that chooses the bootstrapper.
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

// NewDiscovery returns a Discovery that knows only this process. It calls onContacts with the quorate and the eligible
// instances that another process reports. Exactly one process of a first start sets choosesBootstrapper.
func NewDiscovery(self Contact, choosesBootstrapper bool, quorate func() []Contact,
	onContacts func(quorate, eligible []Contact)) *Discovery {
	return &Discovery{self: self, choosesBootstrapper: choosesBootstrapper, quorateInstances: quorate,
		onContacts: onContacts, started: time.Now(),
		client: &http.Client{Timeout: discoveryTimeout, Transport: &http.Transport{DisableKeepAlives: true,
			DialContext: (&net.Dialer{Timeout: discoveryConnectTimeout}).DialContext}},
		eligible: map[string]knownContact{}}
}

// Bootstrapper returns the name of the instance that bootstraps the control group, or "" while it is unknown here. The
// choosing process chooses itself if it is eligible, otherwise the first known eligible instance by name.
func (d *Discovery) Bootstrapper() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.bootstrapper != "" || !d.choosesBootstrapper {
		return d.bootstrapper
	}
	if d.self.Eligible {
		d.bootstrapper = d.self.Name
		return d.bootstrapper
	}
	if time.Since(d.started) < bootstrapDelay {
		return ""
	}
	for name := range d.eligible {
		if d.bootstrapper == "" || name < d.bootstrapper {
			d.bootstrapper = name
		}
	}
	return d.bootstrapper
}

// EligibleAddresses returns the addresses of the known eligible instances.
func (d *Discovery) EligibleAddresses() (addresses []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.eligible {
		addresses = append(addresses, p.Address)
	}
	return addresses
}

// ServeHTTP records the contacts that another process sends and responds with those known here.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxDiscoveryBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var msg discoveryMessage
	if err := cbor.Unmarshal(data, &msg); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	d.merge(msg, false)
	response, err := cbor.Marshal(d.newMessage())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(response)
}

func (d *Discovery) newMessage() discoveryMessage {
	msg := discoveryMessage{Self: d.self, QuorateInstances: d.quorateInstances(), Bootstrapper: d.Bootstrapper()}
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, p := range d.eligible {
		if time.Since(p.seenAt) > contactRetention {
			delete(d.eligible, name)
			continue
		}
		msg.EligibleInstances = append(msg.EligibleInstances, p.Contact)
	}
	return msg
}

// merge records the contacts in a message. Only a response may make this process the bootstrapper.
func (d *Discovery) merge(msg discoveryMessage, isResponse bool) {
	eligible := msg.EligibleInstances
	if msg.Self.Eligible {
		eligible = append(slices.Clone(eligible), msg.Self)
	}
	d.mu.Lock()
	for _, p := range eligible {
		if p.Name != d.self.Name && p.Name != "" {
			d.eligible[p.Name] = knownContact{p, time.Now()}
		}
	}
	if isResponse && d.bootstrapper == "" && msg.Bootstrapper == d.self.Name {
		d.bootstrapper = msg.Bootstrapper
	}
	d.mu.Unlock()
	d.onContacts(msg.QuorateInstances, eligible)
}

// ExchangeContacts sends the contacts known here to the process at an address and records those in its response.
func (d *Discovery) ExchangeContacts(ctx context.Context, address string) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("exchange contacts with %s: %w", address, err)
		}
	}()
	body, err := cbor.Marshal(d.newMessage())
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+DiscoveryPath, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("unexpected response status %s", resp.Status)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxDiscoveryBytes))
	if err != nil {
		return err
	}
	var response discoveryMessage
	if err := cbor.Unmarshal(data, &response); err != nil {
		return err
	}
	d.merge(response, true)
	return nil
}
