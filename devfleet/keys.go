package devfleet

import (
	"crypto/ed25519"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"os"
	"path/filepath"
)

// signingKey returns the key that signs the fleet's bundles. It is the same for every fleet and therefore not secret.
func signingKey() ed25519.PrivateKey { return ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize)) }

// WriteKeys writes the keys of the fleet's operator and signer to a folder for cactusctl.
func WriteKeys(dir string) (err error) {
	der, err := x509.MarshalPKCS8PrivateKey(signingKey())
	if err != nil {
		return fmt.Errorf("encode signing key: %w", err)
	}
	for _, f := range []struct {
		name string
		data []byte
	}{
		{"operator.key", []byte(OperatorKey)},
		{"signer.key", []byte(SignerKey)},
		{"signing.pem", pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der})},
	} {
		if err := os.WriteFile(filepath.Join(dir, f.name), f.data, 0o600); err != nil {
			return fmt.Errorf("write key: %w", err)
		}
	}
	return nil
}
