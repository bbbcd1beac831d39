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
	a.cert, a.key, _ = a.issue("authority", time.Now().Add(time.Hour))
	return a
}

// issue issues a certificate for 127.0.0.1, which is self-signed while the authority has none.
func (a *authority) issue(name string, notAfter time.Time) (*x509.Certificate, *ecdsa.PrivateKey, []byte) {
	a.n++
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(a.t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.n), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: notAfter, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
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

func (a *authority) writeFiles(dir, name string, notAfter time.Time) configurer.TLS {
	_, key, cert := a.issue(name, notAfter)
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

func discardEvent(string, ...any) {}

// Guards against processes that must be restarted for new certificates, accept peers of another authority, or fail
// while files are replaced one by one.
func TestCertificatesAreReloadedAndPeersChecked(t *testing.T) {
	first, second := newAuthority(t), newAuthority(t)
	dir, notAfter := t.TempDir(), time.Now().Add(time.Hour)
	files := first.writeFiles(dir, "old", notAfter)
	c, err := New(files, discardEvent)
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
	otherCertifier, err := New(second.writeFiles(t.TempDir(), "other", notAfter), discardEvent)
	assert.NilError(t, err)
	assert.NilError(t, dial(c.ClientConfig))
	assert.ErrorContains(t, dial(otherCertifier.ClientConfig), "certificate signed by unknown authority")
	withoutCertificate := func() *tls.Config { return &tls.Config{RootCAs: c.ClientConfig().RootCAs} }
	assert.ErrorContains(t, dial(withoutCertificate), "certificate required")

	assert.NilError(t, os.WriteFile(files.CertFile, []byte("half"), 0o600))
	now = now.Add(2 * checkInterval)
	assert.NilError(t, dial(c.ClientConfig))
	second.writeFiles(dir, "new name", notAfter)
	now = now.Add(2 * checkInterval)
	assert.NilError(t, dial(otherCertifier.ClientConfig))
	assert.NilError(t, dial(c.ClientConfig))
	assert.Equal(t, c.ClientConfig().Certificates[0].Leaf.Subject.CommonName, "new name")
}

// Guards against errors without a file name, and against an expired certificate that only peers detect.
func TestUnusableFilesAreNamed(t *testing.T) {
	a := newAuthority(t)
	c, err := New(configurer.TLS{}, discardEvent)
	assert.NilError(t, err)
	assert.Assert(t, c == nil && c.ServerConfig() == nil && c.ClientConfig() == nil && c.PublicConfig() == nil)
	_, err = New(configurer.TLS{CertFile: "x"}, discardEvent)
	assert.ErrorContains(t, err, "tls/keyFile")
	_, err = New(a.writeFiles(t.TempDir(), "old", time.Now().Add(-time.Minute)), discardEvent)
	assert.ErrorContains(t, err, "cert.pem: expired at")
	files := a.writeFiles(t.TempDir(), "good", time.Now().Add(time.Hour))
	assert.NilError(t, os.WriteFile(files.CAFile, []byte("none"), 0o600))
	_, err = New(files, discardEvent)
	assert.ErrorContains(t, err, "ca.pem: no certificate in PEM form")
}

// Guards against access to the paths for processes without a client certificate.
func TestRequirePeerRefusesCallersWithoutACertificate(t *testing.T) {
	c, err := New(newAuthority(t).writeFiles(t.TempDir(), "process", time.Now().Add(time.Hour)), discardEvent)
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
