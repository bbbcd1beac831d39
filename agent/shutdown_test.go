package agent

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cactusroute.dev/adapters/certifier"
	"cactusroute.dev/adapters/configurer"
	"cactusroute.dev/adapters/messenger"
	"cactusroute.dev/adapters/observer"
	"cactusroute.dev/adapters/recorder"
	"cactusroute.dev/adapters/relayer"
	"cactusroute.dev/core/limiter"
	"cactusroute.dev/core/viewer"
	"cactusroute.dev/fakeengine"
)

// testTLS writes a self-signed certificate for 127.0.0.1.
func testTLS(t *testing.T) configurer.TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	c := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	cert, err := x509.CreateCertificate(rand.Reader, c, c, &key.PublicKey, key)
	assert.NilError(t, err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(t, err)
	dir := t.TempDir()
	f := configurer.TLS{CertFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem")}
	f.CAFile = f.CertFile
	certPEM := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert})
	keyPEM := pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private})
	assert.NilError(t, os.WriteFile(f.CertFile, certPEM, 0o600))
	assert.NilError(t, os.WriteFile(f.KeyFile, keyPEM, 0o600))
	return f
}

// serveAgent runs an agent on a free port until stop is called.
func serveAgent(t *testing.T, e http.Handler, files configurer.TLS) (a *Agent, stop func() error) {
	t.Helper()
	srv := httptest.NewServer(e)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	p := modelPool
	p.Name, p.MaxConcurrency = "pool", 32
	c := &fakeControl{incarnation: 3, view: *viewer.NewView()}
	c.view.Pools["pool"] = p
	c.view.Endpoints["e1"] = viewer.Endpoint{Name: "e1", Pool: "pool", Incarnation: 3}
	s := Settings{Endpoint: srv.URL, Pool: "pool", Listen: listener.Addr().String()}
	s.Place.Name = "e1"
	workCtx, cancelWork := context.WithCancel(context.Background())
	ctx, cancel := context.WithCancel(workCtx)
	obs := observer.New(io.Discard, "agent")
	cert, err := certifier.New(files, obs.Event)
	assert.NilError(t, err)
	a = newAgent(workCtx, s, obs, c, cert)
	done := make(chan error, 1)
	go func() { done <- a.runServer(ctx, workCtx) }()
	t.Cleanup(func() { cancelWork(); srv.CloseClientConnections(); srv.Close() })
	awaitReady(t, a)
	a.admission.do(func(l *limiter.Limiter, now time.Time) limiter.Decisions { // end slow start
		for i := range 40 {
			l.Submit(now, limiter.Request{ID: uint64(1000 + i), Workspace: "w", Deadline: now.Add(time.Hour)})
			l.Finish(now, limiter.Result{ID: uint64(1000 + i), Outcome: limiter.OutcomeSuccess})
		}
		return limiter.Decisions{}
	})
	return a, func() error { cancel(); return <-done }
}

// tcpProxy forwards TCP connections and can close all open ones.
type tcpProxy struct {
	listener net.Listener
	mu       sync.Mutex
	conns    []net.Conn
}

func newTCPProxy(t *testing.T, target string) *tcpProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &tcpProxy{listener: listener}
	t.Cleanup(func() { _ = listener.Close(); p.closeConns() })
	go func() {
		for {
			inbound, err := listener.Accept()
			if err != nil {
				return
			}
			outbound, err := net.Dial("tcp", target)
			if err != nil {
				_ = inbound.Close()
				continue
			}
			p.mu.Lock()
			p.conns = append(p.conns, inbound, outbound)
			p.mu.Unlock()
			for _, pair := range [][2]net.Conn{{inbound, outbound}, {outbound, inbound}} {
				go func() { _, _ = io.Copy(pair[0], pair[1]); _ = pair[0].Close() }()
			}
		}
	}()
	return p
}

func (p *tcpProxy) closeConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
	p.conns = nil
}

// Guards against a graceful shutdown that interrupts a request or leaves its outcome unknown, with 16 closed-loop
// clients, and with and without connections that break during the shutdown.
func TestShutdownUnderLoadLosesNoRequest(t *testing.T) {
	for _, breaksConns := range []bool{false, true} {
		t.Run(fmt.Sprintf("breaks=%v", breaksConns), func(t *testing.T) {
			e := newEngine(fakeengine.Config{Tokens: 60, TokenGap: 5 * time.Millisecond})
			a, stop := serveAgent(t, e, testTLS(t))
			proxy := newTCPProxy(t, a.settings.Listen)
			client := relayer.NewClient(t.Context(), messenger.Options{TLSFunc: a.certifier.ClientConfig})
			var wg sync.WaitGroup
			var completed, refused, stopped atomic.Int64
			done := make(chan struct{})
			reqs := make(chan *relayer.Request, 10_000)
			for range cap(reqs) {
				reqs <- chatRequest("which wool")
			}
			for n := range 16 {
				wg.Go(func() {
					for {
						select {
						case <-done:
							return
						default:
						}
						req := <-reqs
						req.ChatKey, req.Deadline = uint64(n), time.Now().Add(20*time.Second)
						req.Body = fmt.Appendf(nil, `{"model":"m","stream":true,"messages":[{"role":"user","content":"wool %d"}]}`, n)
						text, err := receive(t.Context(), client, proxy.listener.Addr().String(), req)
						var refusal *relayer.RefusalError
						var lost *relayer.AgentLostError
						switch {
						case err == nil:
							assert.Check(t, strings.Contains(text, "[DONE]"))
							completed.Add(1)
						case errors.As(err, &refusal):
							refused.Add(1)
							time.Sleep(10 * time.Millisecond)
						case errors.As(err, &lost) && !lost.Sent && stopped.Load() > 0:
							time.Sleep(10 * time.Millisecond)
						default:
							assert.Check(t, err)
						}
					}
				})
			}
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if e.Stats().Running >= 8 && completed.Load() > 16 {
					return poll.Success()
				}
				return poll.Continue("no load yet")
			})
			before, running := completed.Load(), e.Stats().Running
			stopped.Store(1)
			if breaksConns {
				time.AfterFunc(50*time.Millisecond, proxy.closeConns)
			}
			assert.Check(t, errors.Is(stop(), context.Canceled))
			close(done)
			wg.Wait()
			s := e.Stats()
			t.Logf("%d running at the shutdown, %d completed after it, %d refused, %d resumed", running, completed.Load()-before,
				refused.Load(), client.Stats().Resumed)
			assert.Equal(t, s.Cancelled, 0)
			assert.Equal(t, int64(s.Completions), completed.Load())
			assert.Assert(t, completed.Load()-before >= int64(running))
			assert.Equal(t, client.Stats().Resumed > 0, breaksConns)
			assert.Equal(t, client.Stats().Lost, uint64(0))
		})
	}
}

func receive(ctx context.Context, client *relayer.Client, addr string, req *relayer.Request) (string, error) {
	s, err := client.Start(ctx, addr, *req)
	if err != nil {
		return "", err
	}
	var text strings.Builder
	for {
		p, err := s.Next(ctx)
		if errors.Is(err, io.EOF) {
			return text.String(), nil
		}
		if err != nil {
			return "", err
		}
		text.Write(p)
	}
}

// Guards against clients without a certificate that run requests, import chats or read the timeline, and against health
// checks and metrics that require a certificate.
func TestInternalPathsRequireCertificate(t *testing.T) {
	a, stop := serveAgent(t, newEngine(fakeengine.Config{Tokens: 1}), testTLS(t))
	roots := a.certifier.ClientConfig().RootCAs
	anonymous := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}}}
	url := "https://" + a.settings.Listen
	for _, tt := range []struct {
		method, path string
		status       int
	}{
		{"GET", "/metrics", http.StatusOK},
		{"GET", "/readyz", http.StatusOK},
		{"GET", "/livez", http.StatusOK},
		{"GET", relayer.Path, http.StatusForbidden},
		{"GET", recorder.Path, http.StatusForbidden},
		{"PUT", cachePath + "7", http.StatusForbidden},
	} {
		r, err := http.NewRequestWithContext(t.Context(), tt.method, url+tt.path, http.NoBody)
		assert.NilError(t, err)
		resp, err := anonymous.Do(r)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.StatusCode, tt.status, tt.path)
	}
	c := chatCache{Chat: "7", Blocks: []uint64{1}}
	assert.NilError(t, a.peerClient.endpointAt(a.settings.Listen).call(t.Context(), "PUT", cachePath+"7", &c, nil))
	assert.Assert(t, a.directory.isCached(7))
	anonymous.CloseIdleConnections()
	assert.Check(t, errors.Is(stop(), context.Canceled))
}
