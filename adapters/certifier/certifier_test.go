package certifier

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/adapters/configurer"
	"cactusroute.dev/adapters/messenger"
)

type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	n    int64
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t}
	a.cert, a.key, _ = a.sign("authority", time.Now().Add(time.Hour))
	return a
}

// sign issues a certificate for 127.0.0.1, by itself if the authority has no certificate yet.
func (a *authority) sign(name string, until time.Time) (*x509.Certificate, *ecdsa.PrivateKey, []byte) {
	a.n++
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(a.t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.n), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: until, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA: a.cert == nil, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	parent, signer := a.cert, a.key
	if parent == nil {
		parent, signer = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	assert.NilError(a.t, err)
	cert, err := x509.ParseCertificate(der)
	assert.NilError(a.t, err)
	return cert, key, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
}

func (a *authority) write(dir, name string, until time.Time) configurer.TLS {
	_, key, cert := a.sign(name, until)
	der, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(a.t, err)
	files := configurer.TLS{
		CertFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem"),
		CAFile: filepath.Join(dir, "ca.pem"),
	}
	keyPEM := pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der})
	caPEM := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.cert.Raw})
	for name, data := range map[string][]byte{files.CertFile: cert, files.KeyFile: keyPEM, files.CAFile: caPEM} {
		assert.NilError(a.t, os.WriteFile(name, data, 0o600))
	}
	return files
}

func ignore(string, ...any) {}

// Guards against processes that need a restart for new certificates, that accept a peer of another authority, and
// that fail while files are replaced one by one.
func TestCertificatesAreReloadedAndPeersChecked(t *testing.T) {
	first, second := newAuthority(t), newAuthority(t)
	dir, later := t.TempDir(), time.Now().Add(time.Hour)
	files := first.write(dir, "old", later)
	c, err := New(files, ignore)
	assert.NilError(t, err)
	now := time.Now()
	c.now = func() time.Time { return now }
	hs := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := messenger.Accept(w, r, messenger.Options{})
		if err == nil {
			_ = conn.Close()
		}
	}))
	hs.TLS = c.ServerConfig()
	hs.StartTLS()
	defer hs.Close()
	dial := func(tlsFunc func() *tls.Config) error {
		addr := strings.TrimPrefix(hs.URL, "https://")
		conn, err := messenger.Dial(t.Context(), addr, "/", messenger.Options{TLSFunc: tlsFunc})
		if err == nil {
			_ = conn.Close()
		}
		return err
	}
	other, err := New(second.write(t.TempDir(), "other", later), ignore)
	assert.NilError(t, err)
	assert.NilError(t, dial(c.ClientConfig))
	assert.ErrorContains(t, dial(other.ClientConfig), "certificate signed by unknown authority")
	onlyTrust := func() *tls.Config { return &tls.Config{RootCAs: c.ClientConfig().RootCAs} }
	assert.ErrorContains(t, dial(onlyTrust), "certificate required")

	assert.NilError(t, os.WriteFile(files.CertFile, []byte("half"), 0o600))
	now = now.Add(2 * checkInterval)
	assert.NilError(t, dial(c.ClientConfig))
	second.write(dir, "new name", later)
	now = now.Add(2 * checkInterval)
	assert.NilError(t, dial(other.ClientConfig))
	assert.NilError(t, dial(c.ClientConfig))
	assert.Equal(t, c.ClientConfig().Certificates[0].Leaf.Subject.CommonName, "new name")
}

// Guards against errors that don't name the file, and against an expired certificate that is only noticed by peers.
func TestUnusableFilesAreNamed(t *testing.T) {
	a := newAuthority(t)
	c, err := New(configurer.TLS{}, ignore)
	assert.NilError(t, err)
	assert.Assert(t, c == nil && c.ServerConfig() == nil && c.ClientConfig() == nil && c.PublicConfig() == nil)
	_, err = New(configurer.TLS{CertFile: "x"}, ignore)
	assert.ErrorContains(t, err, "tls/keyFile")
	_, err = New(a.write(t.TempDir(), "old", time.Now().Add(-time.Minute)), ignore)
	assert.ErrorContains(t, err, "cert.pem: expired at")
	files := a.write(t.TempDir(), "good", time.Now().Add(time.Hour))
	assert.NilError(t, os.WriteFile(files.CAFile, []byte("none"), 0o600))
	_, err = New(files, ignore)
	assert.ErrorContains(t, err, "ca.pem: no certificate in PEM form")
}

// Guards against a caller without a certificate who reaches a path that is for processes.
func TestRequirePeerRefusesCallersWithoutACertificate(t *testing.T) {
	c, err := New(newAuthority(t).write(t.TempDir(), "process", time.Now().Add(time.Hour)), ignore)
	assert.NilError(t, err)
	mux := http.NewServeMux()
	mux.Handle("/peer", c.RequirePeer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})))
	mux.HandleFunc("/public", func(http.ResponseWriter, *http.Request) {})
	hs := httptest.NewUnstartedServer(mux)
	hs.TLS = c.PublicConfig()
	hs.StartTLS()
	defer hs.Close()
	status := func(path string, config *tls.Config) int {
		client := http.Client{Transport: &http.Transport{TLSClientConfig: config}}
		defer client.CloseIdleConnections()
		resp, err := client.Get(hs.URL + path)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		return resp.StatusCode
	}
	caller := &tls.Config{RootCAs: c.ClientConfig().RootCAs}
	assert.Equal(t, status("/public", caller.Clone()), http.StatusOK)
	assert.Equal(t, status("/peer", caller), http.StatusForbidden)
	assert.Equal(t, status("/peer", c.ClientConfig().Clone()), http.StatusOK)
}
