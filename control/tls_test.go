package control

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/adapters/certifier"
	"cactusroute.dev/adapters/configurer"
	"cactusroute.dev/adapters/observer"
	"cactusroute.dev/adapters/recorder"
	"cactusroute.dev/adapters/subscriber"
)

// testTLS writes a self-signed certificate for 127.0.0.1 and returns a pool that trusts it.
func testTLS(t *testing.T) (files configurer.TLS, pool *x509.CertPool) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(t, err)
	dir := t.TempDir()
	files = configurer.TLS{
		CertFile: filepath.Join(dir, "cert"), KeyFile: filepath.Join(dir, "key"), CAFile: filepath.Join(dir, "cert"),
	}
	certPEM := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	assert.NilError(t, os.WriteFile(files.CertFile, certPEM, 0o600))
	keyPEM := pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: secret})
	assert.NilError(t, os.WriteFile(files.KeyFile, keyPEM, 0o600))
	pool = x509.NewCertPool()
	assert.Assert(t, pool.AppendCertsFromPEM(certPEM))
	return files, pool
}

// Guards against instances that fail to form a group over TLS, paths between processes that accept clients without a
// certificate, and an administration API that requires one.
func TestProcessPathsRequireACertificate(t *testing.T) {
	t.Parallel()
	files, pool := testTLS(t)
	rs := startSecureReplicas(t, 3, testBundle(1, 0), files)
	cert, err := certifier.New(files, func(string, ...any) {})
	assert.NilError(t, err)
	client := subscriber.NewClient(subscriber.ClientConfig{
		Identity: subscriber.Identity{Name: "r", Role: subscriber.RoleRouter}, Controls: []string{rs[1].addr},
		TLSFunc: cert.ClientConfig, Observer: observer.New(io.Discard, "r"),
	})
	go func() { _ = client.Serve(t.Context()) }()
	eventually(t, "fresh over TLS", func() bool { return client.IsFresh(time.Now()) })
	operator := &http.Client{Transport: &http.Transport{
		TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13},
	}}
	for path, want := range map[string]int{
		subscriber.Path: http.StatusForbidden, rs[0].committer.Path(): http.StatusForbidden,
		recorder.Path: http.StatusForbidden, "/admin/v1/status": http.StatusUnauthorized, "/livez": http.StatusOK,
	} {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, rs[0].url+path, nil)
		assert.NilError(t, err)
		resp, err := operator.Do(req)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.StatusCode, want, path)
	}
}
