package control

import (
	"crypto/ed25519"
	"encoding/hex"
	"errors"
	"fmt"
	"net"

	"cactusroute.dev/adapters/configurer"
	"cactusroute.dev/core/applier"
)

const (
	defaultLoadPermits = 4
	maxLoadPermits     = 10_000
)

// Settings are the settings of a control process.
type Settings struct {
	Place configurer.Place `json:"place"`
	// Listen is the host:port at which routers, agents, other control instances and operators connect.
	Listen string `json:"listen"`
	// DataDir is the folder of all durable state. It may be empty without peers; the state is then kept in memory only.
	DataDir string         `json:"dataDir"`
	TLS     configurer.TLS `json:"tls"`
	// Machine bounds what the process holds for its callers.
	Machine configurer.Machine `json:"machine,omitzero"`
	// Peers are the other control instances.
	Peers []Peer `json:"peers"`
	// BootstrapKeys are stored by the first instance that commits them, unless the fleet already has a key.
	BootstrapKeys []BootstrapKey `json:"bootstrapKeys"`
	// LoadPermits is the number of endpoints that may read from the rate-limited weight store concurrently; 0 means 4.
	LoadPermits int `json:"loadPermits"`
}

// Peer is another control instance.
type Peer struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// BootstrapKey is an initial operator key; the settings contain only the digest of the bearer key.
type BootstrapKey struct {
	Name string `json:"name"`
	Role string `json:"role"`
	Team string `json:"team"`
	// Hash is the hexadecimal SHA-256 digest of the bearer key.
	Hash string `json:"hash"`
	// PublicKey is the hexadecimal ed25519 public key of a signer; empty for the other roles.
	PublicKey string `json:"publicKey"`
}

// ProcessName returns the process name for log lines.
func (s *Settings) ProcessName() string { return s.Place.Name }

// Check returns an error for each missing or invalid value.
func (s *Settings) Check() error {
	errs := []error{s.Place.Check(), s.Machine.Check(), checkAddress("listen", s.Listen)}
	names := map[string]bool{s.Place.Name: true}
	for i, p := range s.Peers {
		field := fmt.Sprintf("peers/%d", i)
		if p.Name == "" || names[p.Name] {
			errs = append(errs, settingError(field+"/name", fmt.Sprintf("missing or duplicate: %q", p.Name), "a unique name"))
		}
		names[p.Name] = true
		errs = append(errs, checkAddress(field+"/address", p.Address))
	}
	if s.DataDir == "" && len(s.Peers) > 0 {
		errs = append(errs,
			settingError("dataDir", "missing", "a folder, because a replica with peers stores its votes on disk"))
	}
	if len(s.Peers) > 6 {
		errs = append(errs,
			settingError("peers", "more than 6 peers", "at most 6, because a fleet has at most 7 control instances"))
	}
	if s.LoadPermits < 0 || s.LoadPermits > maxLoadPermits {
		errs = append(errs, settingError("loadPermits", "out of range", fmt.Sprintf("0 to %d", maxLoadPermits)))
	}
	keys := map[string]bool{}
	for i := range s.BootstrapKeys {
		k := &s.BootstrapKeys[i]
		field := fmt.Sprintf("bootstrapKeys/%d", i)
		if k.Name == "" || len(k.Name) > 63 || keys[k.Name] {
			errs = append(errs, settingError(field+"/name", "missing, too long or duplicate", "a unique name of 1 to 63 bytes"))
		}
		keys[k.Name] = true
		errs = append(errs, k.check(field))
	}
	return errors.Join(errs...)
}

func (k *BootstrapKey) check(field string) error {
	var errs []error
	if b, err := hex.DecodeString(k.Hash); err != nil || len(b) != 32 {
		errs = append(errs, settingError(field+"/hash", "invalid digest", "64 hexadecimal digits (SHA-256 of the key)"))
	}
	role := applier.KeyRole(k.Role)
	if role != applier.RoleReader && role != applier.RoleOperator && role != applier.RoleSigner {
		errs = append(errs, settingError(field+"/role", fmt.Sprintf("unknown value %q", k.Role), "reader, operator, signer"))
	}
	b, err := hex.DecodeString(k.PublicKey)
	isSigner := role == applier.RoleSigner
	if err != nil || (isSigner && len(b) != ed25519.PublicKeySize) || (!isSigner && len(b) > 0) {
		errs = append(errs, settingError(field+"/publicKey", "invalid public key",
			"64 hexadecimal digits (ed25519 public key) with role signer, else empty"))
	}
	return errors.Join(errs...)
}

func (k *BootstrapKey) key() applier.Key {
	b, err := hex.DecodeString(k.PublicKey)
	if err != nil {
		b = nil
	}
	return applier.Key{Name: k.Name, Role: applier.KeyRole(k.Role), Team: k.Team, Hash: k.Hash, PublicKey: b}
}

func checkAddress(field, addr string) error {
	if _, port, err := net.SplitHostPort(addr); err != nil || port == "" {
		return settingError(field, fmt.Sprintf("invalid address %q", addr), "host:port")
	}
	return nil
}

func settingError(field, problem, allowed string) error {
	return &configurer.SettingError{Field: field, Problem: problem, Allowed: allowed}
}
