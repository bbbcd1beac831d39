package measurer

import (
	"context"
	"crypto/ed25519"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"cactusroute.dev/adapters/configurer"
	"cactusroute.dev/agent"
	"cactusroute.dev/control"
	"cactusroute.dev/core/bundler"
	"cactusroute.dev/fakeengine"
	"cactusroute.dev/fakeservice"
	"cactusroute.dev/loader/spawner"
	"cactusroute.dev/router"
)

const (
	operatorKey = "measure-operator"
	signerKey   = "measure-signer"
	// startTimeout is the maximum time until a started fleet is ready.
	startTimeout = 60 * time.Second
)

// endpoint is an engine or a service process with its agent.
type endpoint struct {
	name          string
	failureDomain string
	process       *spawner.Process
	agent         *spawner.Process
	address       string // of process
	agentAddress  string
}

// fleet is a running fleet of local processes.
type fleet struct {
	scenario         Scenario
	spawner          *spawner.Spawner
	basePort         int
	usedPorts        int
	signingKey       ed25519.PrivateKey
	controls         []*spawner.Process
	controlAddresses []string
	routers          []*spawner.Process
	routerAddresses  []string
	engines          []*endpoint
	services         []*endpoint
	admin            *adminClient
}

// startFleet starts all processes of a scenario and rolls out its bundle.
func startFleet(ctx context.Context, scenario Scenario, sp *spawner.Spawner) (*fleet, error) {
	return startFleetWithBundle(ctx, scenario, sp, (*Scenario).bundle)
}

func startFleetWithBundle(
	ctx context.Context, scenario Scenario, sp *spawner.Spawner,
	bundle func(s *Scenario, version uint64) *bundler.Bundle,
) (f *fleet, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("start fleet of scenario %s: %w", scenario.Name, err)
		}
	}()
	f = &fleet{scenario: scenario, spawner: sp, signingKey: ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))}
	if f.basePort, err = findFreePorts(ctx); err != nil {
		return nil, err
	}
	for _, start := range []func() error{f.startControls, f.startEngines, f.startServices, f.startRouters} {
		if err := start(); err != nil {
			return nil, err
		}
	}
	f.admin = &adminClient{addresses: f.controlAddresses, signingKey: f.signingKey}
	return f, f.rolloutWithRetry(ctx, bundle(&scenario, 1))
}

// rolloutWithRetry rolls out a bundle and retries until startTimeout, as the control instances may still be starting.
func (f *fleet) rolloutWithRetry(ctx context.Context, b *bundler.Bundle) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		err := f.admin.rollout(ctx, b)
		if err == nil || ctx.Err() != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return errors.Join(err, ctx.Err())
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// findFreePorts returns the first port of a range of 200 free ports. The first range to try depends on the process ID,
// so that two measurements that start at the same time do not select the same range.
func findFreePorts(ctx context.Context) (int, error) {
	lc := net.ListenConfig{}
	const firstPort, lastPort, rangeSize = 12000, 32000, 200 // below the ephemeral ports of the system
	ranges := (lastPort - firstPort) / rangeSize
	for n := range ranges {
		base := firstPort + (os.Getpid()+n)%ranges*rangeSize
		isFree := true
		for port := range rangeSize {
			l, err := lc.Listen(ctx, "tcp", fmt.Sprintf("127.0.0.1:%d", base+port))
			if err != nil {
				isFree = false
				break
			}
			isFree = l.Close() == nil && isFree
		}
		if isFree {
			return base, nil
		}
	}
	return 0, errors.New("no free range of 200 ports between 12000 and 32000")
}

func (f *fleet) nextAddress() string {
	f.usedPorts++
	return fmt.Sprintf("127.0.0.1:%d", f.basePort+f.usedPorts)
}

func (f *fleet) place(name string, n int) configurer.Place {
	return configurer.Place{Name: name, Region: f.scenario.Region, FailureDomain: f.scenario.failureDomain(n)}
}

func (f *fleet) startControls() error {
	peers := make([]control.Peer, 0, f.scenario.Controls)
	for n := range f.scenario.Controls {
		f.controlAddresses = append(f.controlAddresses, f.nextAddress())
		peers = append(peers, control.Peer{Name: fmt.Sprintf("control-%d", n), Address: f.controlAddresses[n]})
	}
	publicKey := hex.EncodeToString(f.signingKey.Public().(ed25519.PublicKey))
	for n, self := range peers {
		s := control.Settings{
			Place: f.place(self.Name, n), Listen: self.Address, DataDir: filepath.Join(f.spawner.WorkDir, self.Name),
			Peers: []control.Peer{},
			BootstrapKeys: []control.BootstrapKey{
				{Name: "operator", Role: "operator", Hash: bundler.HashKey(operatorKey)},
				{Name: "signer", Role: "signer", Hash: bundler.HashKey(signerKey), PublicKey: publicKey},
			},
		}
		for _, p := range peers {
			if p.Name != self.Name {
				s.Peers = append(s.Peers, p)
			}
		}
		p, err := f.spawner.Start(self.Name, "control", s)
		if err != nil {
			return err
		}
		f.controls = append(f.controls, p)
	}
	return nil
}

func (f *fleet) startEngines() error {
	for n := range f.scenario.Engines {
		e, err := f.startEndpoint(fmt.Sprintf("engine-%d", n), n, f.scenario.Pool, "fakeengine", func(listen string) any {
			fence := fakeengine.FenceRefuse
			if n%2 == 1 {
				fence = fakeengine.FenceIgnore
			}
			return fakeengine.Settings{
				Listen: listen, Model: f.scenario.Model, ModelVersion: "1", NeedsCommand: true,
				FirstTokenMillis: int(firstTokenDelay.Milliseconds()), TokenGapMillis: int(tokenGap.Milliseconds()),
				Tokens: responseTokens, PrefillMicrosPerToken: prefillMicrosPerToken, BatchSlope: 0.02, MaxBatch: 32,
				CacheBlocks: cacheBlocks, ColdCompletions: 20, ColdCapacity: 2, ColdFactor: 2, EventDelayMillis: 500,
				EventGap: 7, LoadLagMillis: 500, RestartMillis: 500, LoadMillis: 300, Fence: fence,
			}
		})
		if err != nil {
			return err
		}
		f.engines = append(f.engines, e)
	}
	return nil
}

func (f *fleet) startServices() error {
	for n := range f.scenario.Services {
		name := fmt.Sprintf("%s-%d", f.scenario.Service, n)
		e, err := f.startEndpoint(name, n, f.scenario.Service, "fakeservice", func(listen string) any {
			return fakeservice.Settings{Listen: listen, DelayMillis: 20}
		})
		if err != nil {
			return err
		}
		f.services = append(f.services, e)
	}
	return nil
}

func (f *fleet) startEndpoint(
	name string, n int, pool, program string, settings func(listen string) any,
) (e *endpoint, err error) {
	e = &endpoint{name: name, failureDomain: f.scenario.failureDomain(n), address: f.nextAddress()}
	if e.process, err = f.spawner.Start(name, program, settings(e.address)); err != nil {
		return nil, err
	}
	e.agentAddress = f.nextAddress()
	e.agent, err = f.spawner.Start("agent-"+name, "agent", agent.Settings{
		Place: f.place(name, n), Listen: e.agentAddress, Endpoint: "http://" + e.address, Pool: pool,
		Controls: f.controlAddresses,
	})
	return e, err
}

func (f *fleet) startRouters() error {
	for n := range f.scenario.Routers {
		name := fmt.Sprintf("router-%d", n)
		f.routerAddresses = append(f.routerAddresses, f.nextAddress())
		p, err := f.spawner.Start(name, "router", router.Settings{
			Place: f.place(name, n), Listen: f.routerAddresses[n], Controls: f.controlAddresses, DrainNoticeMillis: 200,
		})
		if err != nil {
			return err
		}
		f.routers = append(f.routers, p)
	}
	return nil
}

// getJSON decodes the JSON response to a GET request into v.
func getJSON(ctx context.Context, url string, v any) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("get %s: %w", url, err)
		}
	}()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return &statusError{Status: resp.StatusCode}
	}
	return json.NewDecoder(resp.Body).Decode(v)
}

type statusError struct {
	Status int
	Text   string
}

// Error returns a message with the status and the response body.
func (e *statusError) Error() string {
	return fmt.Sprintf("unexpected status %d: %s", e.Status, e.Text)
}
