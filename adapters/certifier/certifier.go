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

// checkInterval is the minimum interval between two checks of the files by handshakes.
const checkInterval = time.Second

// FileError means that a file of the TLS settings is unusable.
type FileError struct {
	File  string
	Cause error
}

// Error formats the file and the cause.
func (e *FileError) Error() string { return fmt.Sprintf("TLS file %s: %v", e.File, e.Cause) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// Certifier provides the TLS configurations of a process; a nil Certifier means plain TCP.
type Certifier struct {
	files    configurer.TLS
	logEvent func(msg string, keyvals ...any)
	now      func() time.Time

	mu          sync.Mutex
	lastCheck   time.Time
	fileStates  [3]fileState
	lastProblem string // last logged error, so that a repeated one is not logged again
	current     *tlsConfigs
}

type fileState struct {
	modified time.Time
	size     int64
}

type tlsConfigs struct {
	server, public, client *tls.Config
}

// New loads the files, or returns nil without an error if files is empty. Reloads and failed reloads are passed to
// logEvent.
func New(files configurer.TLS, logEvent func(msg string, keyvals ...any)) (*Certifier, error) {
	if files == (configurer.TLS{}) {
		return nil, nil
	}
	var errs []error
	for _, f := range []struct{ field, value string }{
		{"tls/certFile", files.CertFile}, {"tls/keyFile", files.KeyFile}, {"tls/caFile", files.CAFile},
	} {
		if f.value == "" {
			errs = append(errs, &configurer.SettingError{
				Field: f.field, Problem: "missing", Allowed: "a file, because other TLS files are set",
			})
		}
	}
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	c := &Certifier{files: files, logEvent: logEvent, now: time.Now}
	fileStates, err := c.statFiles()
	if err != nil {
		return nil, err
	}
	c.fileStates, c.lastCheck = fileStates, c.now()
	if c.current, err = c.loadConfigs(); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Certifier) fileNames() [3]string {
	return [3]string{c.files.CertFile, c.files.KeyFile, c.files.CAFile}
}

func (c *Certifier) statFiles() (fileStates [3]fileState, err error) {
	for i, name := range c.fileNames() {
		info, err := os.Stat(name)
		if err != nil {
			return fileStates, &FileError{File: name, Cause: err}
		}
		fileStates[i] = fileState{modified: info.ModTime(), size: info.Size()}
	}
	return fileStates, nil
}

func (c *Certifier) loadConfigs() (*tlsConfigs, error) {
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
	return &tlsConfigs{server: server, public: public, client: client}, nil
}

// currentConfigs reloads the files if they have changed. It keeps the current configurations if they are unusable, for
// example while only some of the files have been replaced.
func (c *Certifier) currentConfigs() *tlsConfigs {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if now.Sub(c.lastCheck) < checkInterval {
		return c.current
	}
	c.lastCheck = now
	fileStates, err := c.statFiles()
	if err == nil && fileStates == c.fileStates {
		return c.current
	}
	var configs *tlsConfigs
	if err == nil {
		configs, err = c.loadConfigs()
	}
	if err != nil {
		if text := err.Error(); text != c.lastProblem {
			c.lastProblem = text
			c.logEvent("cannot reload TLS files; keeping the current ones", "err", err)
		}
		return c.current
	}
	c.fileStates, c.current, c.lastProblem = fileStates, configs, ""
	c.logEvent("TLS files reloaded", "cert", c.files.CertFile)
	return configs
}

// ServerConfig returns the configuration for connections from other processes, and requires client certificates.
func (c *Certifier) ServerConfig() *tls.Config {
	if c == nil {
		return nil
	}
	return c.dynamicConfig(func(configs *tlsConfigs) *tls.Config { return configs.server })
}

// PublicConfig returns the configuration for a port that callers, operators and monitoring also use. It verifies client
// certificates if given; RequirePeer protects the paths for processes.
func (c *Certifier) PublicConfig() *tls.Config {
	if c == nil {
		return nil
	}
	return c.dynamicConfig(func(configs *tlsConfigs) *tls.Config { return configs.public })
}

func (c *Certifier) dynamicConfig(selectConfig func(configs *tlsConfigs) *tls.Config) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return selectConfig(c.currentConfigs()), nil
		},
	}
}

// ClientConfig returns the configuration for a connection to another process. It must be called for each connection,
// for example as messenger.Options.TLSFunc.
func (c *Certifier) ClientConfig() *tls.Config {
	if c == nil {
		return nil
	}
	return c.currentConfigs().client
}

// RequirePeer rejects requests without a verified client certificate with status 403 if TLS is enabled.
func (c *Certifier) RequirePeer(h http.Handler) http.Handler {
	if c == nil {
		return h
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.TLS == nil || len(r.TLS.VerifiedChains) == 0 {
			http.Error(w, "a client certificate of a process of the fleet is required", http.StatusForbidden)
			return
		}
		h.ServeHTTP(w, r)
	})
}
