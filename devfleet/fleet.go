package devfleet

import (
	"context"
	"crypto/ed25519"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/thejerf/suture/v4"

	"cactusroute.dev/adapters/configurer"
	"cactusroute.dev/adapters/observer"
	"cactusroute.dev/adapters/server"
	"cactusroute.dev/agent"
	"cactusroute.dev/control"
	"cactusroute.dev/core/bundler"
	"cactusroute.dev/fakeengine"
	"cactusroute.dev/fakeservice"
	"cactusroute.dev/router"
)

// Sizes of the fleet, as one current user runs it.
const (
	routerCount        = 3
	engineCount        = 10
	serviceCount       = 3
	failureDomainCount = 3
	controlCount       = 3
)

const (
	// stopTimeout is longer than any role needs to complete its requests in flight.
	stopTimeout          = time.Minute
	installRetryInterval = 200 * time.Millisecond
)

const (
	region       = "sk-west"
	workspaceKey = "dev-key-shop"
	model        = "darn-7b"
)

// API keys of the fleet's operator and signer; the ed25519 seed of the signing key is 32 zero bytes.
const (
	OperatorKey = "dev-key-operator"
	SignerKey   = "dev-key-signer"
)

// Config sets the ports of the fleet and the destination of its logs.
type Config struct {
	// BasePort is the port of the first router; the fleet uses the 100 ports from BasePort on.
	BasePort int
	Logs     io.Writer
}

// Fleet runs routers, control instances, agents and their endpoints, each as a role under one supervisor.
type Fleet struct {
	cfg        Config
	supervisor *suture.Supervisor
	dataDir    string // parent of the control instances' data folders

	mu       sync.Mutex
	starters map[string]func() suture.ServiceToken // by role name; each starts the role
	running  map[string]suture.ServiceToken
}

// New returns a fleet; Serve starts it.
func New(cfg Config) *Fleet {
	return &Fleet{
		cfg: cfg, supervisor: suture.NewSimple("fleet"), starters: map[string]func() suture.ServiceToken{},
		running: map[string]suture.ServiceToken{},
	}
}

type role struct {
	name string
	run  func(ctx context.Context) error
}

// Serve runs the role.
func (r *role) Serve(ctx context.Context) error { return r.run(ctx) }

// String returns the name of the role, for the supervisor's events.
func (r *role) String() string { return r.name }

func (f *Fleet) addr(n int) string { return fmt.Sprintf("127.0.0.1:%d", f.cfg.BasePort+n) }

func failureDomain(n int) string { return fmt.Sprintf("%s-%c", region, 'a'+n%failureDomainCount) }

// RouterAddr returns the address of the n-th router.
func (f *Fleet) RouterAddr(n int) string { return f.addr(n) }

// ControlAddr returns the address of the first control instance.
func (f *Fleet) ControlAddr() string { return f.addr(10) }

// ControlAddrs returns the addresses of all control instances.
func (f *Fleet) ControlAddrs() (list []string) {
	for n := range controlCount {
		list = append(list, f.addr(10+n))
	}
	return list
}

// Serve starts all roles and returns when ctx ends. The data of the control instances is in a temporary folder that is
// removed before Serve returns.
func (f *Fleet) Serve(ctx context.Context) (err error) {
	if f.dataDir, err = os.MkdirTemp("", "cactusroute-devfleet-"); err != nil {
		return fmt.Errorf("create data folder: %w", err)
	}
	defer func() {
		if removeErr := os.RemoveAll(f.dataDir); removeErr != nil {
			err = errors.Join(err, removeErr)
		}
	}()
	for n := range controlCount {
		f.addControl(n)
	}
	for n := range engineCount {
		f.addEngine(n)
	}
	for n := range serviceCount {
		f.addService(n)
	}
	for n := range routerCount {
		f.addRouter(n)
	}
	return f.supervisor.Serve(ctx)
}

func (f *Fleet) addRole(name string, run func(ctx context.Context) error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starters[name] = func() suture.ServiceToken { return f.supervisor.Add(&role{name: name, run: run}) }
	f.running[name] = f.starters[name]()
}

// Stop stops a role and waits until it has ended. Roles are control-N, router-N, engine-N, orders-N, and agent-NAME
// with the name of an endpoint. The data of a control instance stays on disk.
func (f *Fleet) Stop(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	token, ok := f.running[name]
	if !ok {
		return fmt.Errorf("role %q is not running", name)
	}
	delete(f.running, name)
	return f.supervisor.RemoveAndWait(token, stopTimeout)
}

// Restart starts a role that Stop has stopped.
func (f *Fleet) Restart(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	start, known := f.starters[name]
	if _, isRunning := f.running[name]; !known || isRunning {
		return fmt.Errorf("role %q is unknown or already running", name)
	}
	f.running[name] = start()
	return nil
}

func (f *Fleet) addControl(n int) {
	signer := signingKey()
	publicKey := hex.EncodeToString(signer.Public().(ed25519.PublicKey))
	name := fmt.Sprintf("control-%d", n)
	s := control.Settings{
		Place: f.place(name, n), Listen: f.addr(10 + n), DataDir: filepath.Join(f.dataDir, name),
		BootstrapKeys: []control.BootstrapKey{
			{Name: "operator", Role: "operator", Hash: bundler.HashKey(OperatorKey)},
			{Name: "signer", Role: "signer", Hash: bundler.HashKey(SignerKey), PublicKey: publicKey},
		},
	}
	for i, addr := range f.ControlAddrs() {
		if i != n {
			s.Peers = append(s.Peers, control.Peer{Name: fmt.Sprintf("control-%d", i), Address: addr})
		}
	}
	f.addRole(name, func(ctx context.Context) error {
		c, err := control.Open(s, observer.New(f.cfg.Logs, name))
		if err != nil {
			return err
		}
		var wg sync.WaitGroup
		defer wg.Wait()
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		wg.Go(func() { installInitialBundle(ctx, c, signer) })
		return c.Run(ctx)
	})
}

// installInitialBundle retries the installation of the initial bundle until the fleet has a bundle.
func installInitialBundle(ctx context.Context, c *control.Control, signer ed25519.PrivateKey) {
	for ctx.Err() == nil {
		if _, _, ok := c.Confirmed(); ok && c.BundleVersion() > 0 {
			return
		}
		if err := c.InstallBundle(ctx, InitialBundle(), "operator", "signer", signer); err == nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(installRetryInterval):
		}
	}
}

func (f *Fleet) place(name string, n int) configurer.Place {
	return configurer.Place{Name: name, Region: region, FailureDomain: failureDomain(n)}
}

func (f *Fleet) addEngine(n int) {
	e := fakeengine.New(fakeengine.Config{
		Model: model, FirstToken: 50 * time.Millisecond, TokenGap: 20 * time.Millisecond, Tokens: 40,
	})
	f.addRole(fmt.Sprintf("engine-%d", n), func(ctx context.Context) error {
		return (&server.Server{Addr: f.addr(20 + n), Handler: e, GracePeriod: time.Second}).Serve(ctx)
	})
	f.addAgent(fmt.Sprintf("engine-%d", n), n, f.addr(40+n), f.addr(20+n), "darning")
}

func (f *Fleet) addService(n int) {
	h := fakeservice.New(20 * time.Millisecond)
	f.addRole(fmt.Sprintf("orders-%d", n), func(ctx context.Context) error {
		return (&server.Server{Addr: f.addr(60 + n), Handler: h, GracePeriod: time.Second}).Serve(ctx)
	})
	f.addAgent(fmt.Sprintf("orders-%d", n), n, f.addr(70+n), f.addr(60+n), "orders")
}

func (f *Fleet) addAgent(name string, n int, listenAddr, endpointAddr, pool string) {
	s := agent.Settings{
		Place: f.place(name, n), Listen: listenAddr, Endpoint: "http://" + endpointAddr, Pool: pool,
		Controls: f.ControlAddrs(),
	}
	f.addRole("agent-"+name, func(ctx context.Context) error {
		return agent.Run(ctx, s, observer.New(f.cfg.Logs, "agent-"+name))
	})
}

func (f *Fleet) addRouter(n int) {
	name := fmt.Sprintf("router-%d", n)
	s := router.Settings{Place: f.place(name, n), Listen: f.addr(n), Controls: f.ControlAddrs()}
	f.addRole(name, func(ctx context.Context) error { return router.Run(ctx, s, observer.New(f.cfg.Logs, name)) })
}

// InitialBundle returns the first bundle of the fleet.
func InitialBundle() *bundler.Bundle {
	b := &bundler.Bundle{
		Version: 1,
		Pools: []bundler.Pool{
			{Name: "darning", Kind: bundler.PoolModel, Model: model, MaxConcurrency: 16, TimeoutMillis: 60_000},
			{
				Name: "orders", Kind: bundler.PoolService, MaxConcurrency: 16, TimeoutMillis: 10_000,
				NonIdempotentPaths: []string{"/refunds", "/shipments", "/orders"},
			},
		},
		Workspaces: []bundler.Workspace{{
			Name: "shop", Team: "shop", KeyHashes: []string{bundler.HashKey(workspaceKey)},
			Priority: bundler.PriorityInteractive, Pools: []string{"darning", "orders"}, Weight: 1,
		}},
		Freshness: bundler.Freshness{OnQuorumLoss: bundler.QuorumLossRefuse},
	}
	for n := range failureDomainCount {
		b.FailureDomains = append(b.FailureDomains, bundler.FailureDomain{Name: failureDomain(n), Region: region})
	}
	return b
}

// UsageText describes how to call the fleet and how to administer it with the keys in a folder.
func (f *Fleet) UsageText(keyFolder string) string {
	return fmt.Sprintf(`callers:        http://%s
administration: http://%s
operator key:   %s
workspace key:  %s

curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' \
  -d '{"model":"%s","stream":true,"messages":[{"role":"user","content":"which wool for a heel"}]}'

export CACTUSCTL_CONTROLS=%s CACTUSCTL_OPERATOR_KEY_FILE=%s/operator.key
.bin/cactusctl status
.bin/cactusctl failure-domain out %s --wait
.bin/cactusctl failure-domain in %s
.bin/cactusctl bundle show 1 > bundle-2.json    # set version to 2 and edit the content
.bin/cactusctl bundle draft bundle-2.json
.bin/cactusctl --operator-key-file %s/signer.key bundle sign 2 --signing-key %s/signing.pem --file bundle-2.json
.bin/cactusctl bundle rollout 2 --wait
`, f.RouterAddr(0), strings.Join(f.ControlAddrs(), " http://"), OperatorKey, workspaceKey, f.RouterAddr(0),
		workspaceKey, model, strings.Join(f.ControlAddrs(), ","), keyFolder, failureDomain(1), failureDomain(1),
		keyFolder, keyFolder)
}
