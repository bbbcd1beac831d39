package applier

import (
	"crypto/ed25519"
	"slices"
)

// KeyRole is the role of an operator key; operator and signer include reader.
type KeyRole string

// Roles of operator keys.
const (
	RoleReader   KeyRole = "reader"
	RoleOperator KeyRole = "operator"
	RoleSigner   KeyRole = "signer"
)

// Allows reports whether a key with this role may act in the needed role.
func (r KeyRole) Allows(needed KeyRole) bool { return needed == RoleReader || r == needed }

// Key is a stored operator, signer or reader key; the bearer key itself is never stored.
type Key struct {
	Name string  `json:"name"`
	Role KeyRole `json:"role"`
	// Team limits the key to the workspaces of one team; empty means the whole fleet.
	Team string `json:"team,omitempty"`
	// Hash is the hexadecimal SHA-256 digest of the bearer key.
	Hash string `json:"hash"`
	// PublicKey is the ed25519 key of a signer.
	PublicKey []byte `json:"publicKey,omitempty"`
	// Generation starts at 1 and increases with each rotation.
	Generation uint64 `json:"generation"`
	Revoked    bool   `json:"revoked,omitempty"`
}

// Bootstrap stores the initial keys; it has no effect once any key exists.
type Bootstrap struct {
	Keys []Key `cbor:"1,keyasint"`
}

// PutKey stores a new key, or rotates an existing one if Replaces is its current generation.
type PutKey struct {
	Key      Key    `cbor:"1,keyasint"`
	Replaces uint64 `cbor:"2,keyasint,omitempty"`
}

// RevokeKey permanently revokes a key.
type RevokeKey struct {
	Name string `cbor:"1,keyasint"`
}

func (k *Key) validate() error {
	if k.Name == "" || len(k.Name) > 63 || len(k.Hash) != 64 {
		return refuse(CodeInvalid, "key %q: name must have 1 to 63 bytes, hash must have 64 hexadecimal digits", k.Name)
	}
	if !slices.Contains([]KeyRole{RoleReader, RoleOperator, RoleSigner}, k.Role) {
		return refuse(CodeInvalid, "key %q: role %q is none of reader, operator and signer", k.Name, k.Role)
	}
	if (k.Role == RoleSigner) != (len(k.PublicKey) == ed25519.PublicKeySize) {
		return refuse(CodeInvalid, "key %q: role signer, and no other, must have an ed25519 public key of 32 bytes", k.Name)
	}
	return nil
}

// authorize returns the key of the command's actor, or a RefusalError if the key is not valid at this log position
// or lacks the role.
func (a *Applier) authorize(role KeyRole) (*Key, error) {
	k, err := get[Key](a.w, tableKeys, a.command.Actor)
	if err != nil {
		return nil, err
	}
	if k == nil || k.Revoked || !k.Role.Allows(role) {
		return nil, refuse(CodeForbidden, "key %q is unknown, revoked or lacks role %s", a.command.Actor, role)
	}
	return k, nil
}

// authorizeFleet is like authorize, but refuses team keys.
func (a *Applier) authorizeFleet(role KeyRole) error {
	k, err := a.authorize(role)
	if err == nil && k.Team != "" {
		err = refuse(CodeForbidden, "key %q of team %s may change only its team's workspaces", k.Name, k.Team)
	}
	return err
}

func (a *Applier) bootstrap(c *Bootstrap) error {
	names, err := keysWhile(a.w, tableKeys, "", func(string) bool { return true })
	if err != nil || len(names) > 0 {
		return err
	}
	for i := range c.Keys {
		k := c.Keys[i]
		k.Generation = 1
		if err := k.validate(); err != nil {
			return err
		}
		if err := put(a.w, tableKeys, k.Name, &k); err != nil {
			return err
		}
	}
	return a.appendAudit("bootstrap", "keys", "")
}

func (a *Applier) putKey(c *PutKey) error {
	if err := a.authorizeFleet(RoleSigner); err != nil {
		return err
	}
	if err := c.Key.validate(); err != nil {
		return err
	}
	old, err := get[Key](a.w, tableKeys, c.Key.Name)
	if err != nil {
		return err
	}
	k := c.Key
	k.Generation, k.Revoked = 1, false
	action := "add key"
	if old != nil {
		k.Generation = old.Generation
		unchanged := k.Role == old.Role && k.Team == old.Team && k.Hash == old.Hash &&
			slices.Equal(k.PublicKey, old.PublicKey)
		switch {
		case unchanged && !old.Revoked:
			return nil
		case old.Revoked || c.Replaces != old.Generation:
			return refuse(CodeConflict, "key %q already has generation %d (revoked: %t)", k.Name, old.Generation, old.Revoked)
		}
		if k.Role != RoleSigner || k.Team != "" {
			if err := a.requireOtherSigner(old); err != nil {
				return err
			}
		}
		k.Generation++
		action = "rotate key"
	}
	if err := put(a.w, tableKeys, k.Name, &k); err != nil {
		return err
	}
	return a.appendAudit(action, k.Name, string(k.Role))
}

func (a *Applier) revokeKey(c *RevokeKey) error {
	if err := a.authorizeFleet(RoleSigner); err != nil {
		return err
	}
	k, err := get[Key](a.w, tableKeys, c.Name)
	if err != nil {
		return err
	}
	if k == nil {
		return refuse(CodeNotFound, "key %q not found", c.Name)
	}
	if k.Revoked {
		return nil
	}
	if err := a.requireOtherSigner(k); err != nil {
		return err
	}
	k.Revoked = true
	if err := put(a.w, tableKeys, k.Name, k); err != nil {
		return err
	}
	return a.appendAudit("revoke key", k.Name, "")
}

// requireOtherSigner refuses to remove the last fleet-wide signer, because no key could be added without one.
func (a *Applier) requireOtherSigner(k *Key) error {
	if k.Role != RoleSigner || k.Team != "" {
		return nil
	}
	list, err := getAll[Key](a.w, tableKeys, "")
	if err != nil {
		return err
	}
	for i := range list {
		if o := &list[i]; o.Name != k.Name && o.Role == RoleSigner && o.Team == "" && !o.Revoked {
			return nil
		}
	}
	return refuse(CodeConflict, "key %q is the last fleet-wide signer; add another one first", k.Name)
}
