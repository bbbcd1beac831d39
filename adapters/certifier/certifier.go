package certifier

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"cactusroute.dev/adapters/configurer"
)

// checkInterval bounds how often handshakes look at the files.
const checkInterval = time.Second

// FileError says which file of the TLS settings can't be used.
type FileError struct {
	File  string
	Cause error
}

// Error names the file and the cause.
func (e *FileError) Error() string { return fmt.Sprintf("TLS file %s: %v", e.File, e.Cause) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// Certifier holds the key, certificate and authorities of a process. A nil one means plain TCP.
type Certifier struct {
	files  configurer.TLS
	report func(msg string, keyvals ...any)
	now    func() time.Time

	mu      sync.Mutex
	checked time.Time
	state   [3]fileState
	problem string // that was reported last, so that each is reported once
	current *material
}

type fileState struct {
	modified time.Time
	size     int64
}

type material struct {
	server, public, client *tls.Config
}

// New reads the files; it returns nil without an error when the settings name no file. Later changes of the files,
// and changes that can't be used, are passed to report.
func New(files configurer.TLS, report func(msg string, keyvals ...any)) (*Certifier, error) {
	if files == (configurer.TLS{}) {
		return nil, nil
	}
	var errs []error
	for _, f := range []struct{ field, value string }{
		{"tls/certFile", files.CertFile}, {"tls/keyFile", files.KeyFile}, {"tls/caFile", files.CAFile},
	} {
		if f.value == "" {
			errs = append(errs, &configurer.SettingError{
				Field: f.field, Problem: "missing", Allowed: "a file, as the other TLS files are given",
			})
		}
	}
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	c := &Certifier{files: files, report: report, now: time.Now}
	state, err := c.stat()
	if err != nil {
		return nil, err
	}
	c.state, c.checked = state, c.now()
	if c.current, err = c.load(); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Certifier) names() [3]string {
	return [3]string{c.files.CertFile, c.files.KeyFile, c.files.CAFile}
}

func (c *Certifier) stat() (state [3]fileState, err error) {
	for i, name := range c.names() {
		info, err := os.Stat(name)
		if err != nil {
			return state, &FileError{File: name, Cause: err}
		}
		state[i] = fileState{modified: info.ModTime(), size: info.Size()}
	}
	return state, nil
}

func (c *Certifier) load() (*material, error) {
	cert, err := tls.LoadX509KeyPair(c.files.CertFile, c.files.KeyFile)
	if err != nil {
		return nil, &FileError{File: c.files.CertFile + " with " + c.files.KeyFile, Cause: err}
	}
	if now := c.now(); now.After(cert.Leaf.NotAfter) {
		expired := fmt.Errorf("expired at %s", cert.Leaf.NotAfter.UTC().Format(time.RFC3339))
		return nil, &FileError{File: c.files.CertFile, Cause: expired}
	}
	pem, err := os.ReadFile(c.files.CAFile)
	if err != nil {
		return nil, &FileError{File: c.files.CAFile, Cause: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, &FileError{File: c.files.CAFile, Cause: errors.New("no certificate in PEM form")}
	}
	certs := []tls.Certificate{cert}
	server := &tls.Config{
		Certificates: certs, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}
	public := server.Clone()
	public.ClientAuth, public.MinVersion = tls.VerifyClientCertIfGiven, tls.VersionTLS12
	client := &tls.Config{Certificates: certs, RootCAs: pool, MinVersion: tls.VersionTLS13}
	return &material{server: server, public: public, client: client}, nil
}

// latest reads the files again if they have changed, and keeps the current material if they can't be used, which
// is also the case while one of several files is already replaced.
func (c *Certifier) latest() *material {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if now.Sub(c.checked) < checkInterval {
		return c.current
	}
	c.checked = now
	state, err := c.stat()
	if err == nil && state == c.state {
		return c.current
	}
	var m *material
	if err == nil {
		m, err = c.load()
	}
	if err != nil {
		if text := err.Error(); text != c.problem {
			c.problem = text
			c.report("TLS files not reloaded", "err", err)
		}
		return c.current
	}
	c.state, c.current, c.problem = state, m, ""
	c.report("TLS files reloaded", "cert", c.files.CertFile)
	return m
}

// Server returns settings for connections of other processes, which must show a certificate.
func (c *Certifier) ServerConfig() *tls.Config {
	if c == nil {
		return nil
	}
	return c.follow(func(m *material) *tls.Config { return m.server })
}

// Public returns settings for a port that callers, operators and monitoring use too. A certificate is checked if
// there is one; RequirePeer protects the paths that are for processes only.
func (c *Certifier) PublicConfig() *tls.Config {
	if c == nil {
		return nil
	}
	return c.follow(func(m *material) *tls.Config { return m.public })
}

func (c *Certifier) follow(choose func(m *material) *tls.Config) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return choose(c.latest()), nil
		},
	}
}

// Client returns the settings for the next connection to another process; it is called for each connection, for
// example as messenger.Options.TLSFunc.
func (c *Certifier) ClientConfig() *tls.Config {
	if c == nil {
		return nil
	}
	return c.latest().client
}

// RequirePeer refuses requests without a certificate of another process, when TLS is in use.
func (c *Certifier) RequirePeer(h http.Handler) http.Handler {
	if c == nil {
		return h
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.TLS == nil || len(r.TLS.VerifiedChains) == 0 {
			http.Error(w, "a certificate of a process of the fleet is required", http.StatusForbidden)
			return
		}
		h.ServeHTTP(w, r)
	})
}
