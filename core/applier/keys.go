package applier

import (
	"crypto/ed25519"
	"slices"
)

// KeyRole is what an operator key may do; operator and signer include reader.
type KeyRole string

// Roles of operator keys.
const (
	RoleReader   KeyRole = "reader"
	RoleOperator KeyRole = "operator"
	RoleSigner   KeyRole = "signer"
)

// Allows reports whether a key with this role may act in the given one.
func (r KeyRole) Allows(needed KeyRole) bool { return needed == RoleReader || r == needed }

// Key is an operator or signer key as it is stored; the bearer key itself is never stored.
type Key struct {
	Name string  `json:"name"`
	Role KeyRole `json:"role"`
	// Team limits the key to the workspaces of one team; empty means the whole fleet.
	Team string `json:"team,omitempty"`
	// Hash is the hexadecimal SHA-256 digest of the bearer key.
	Hash string `json:"hash"`
	// PublicKey is the ed25519 key of a signer.
	PublicKey []byte `json:"publicKey,omitempty"`
	// Generation counts rotations from 1.
	Generation uint64 `json:"generation"`
	Revoked    bool   `json:"revoked,omitempty"`
}

// Bootstrap stores the first keys; it changes nothing once any key exists.
type Bootstrap struct {
	Keys []Key `cbor:"1,keyasint"`
}

// PutKey stores a new key, or rotates one if Replaces is its present generation.
type PutKey struct {
	Key      Key    `cbor:"1,keyasint"`
	Replaces uint64 `cbor:"2,keyasint,omitempty"`
}

// RevokeKey ends the validity of a key for good.
type RevokeKey struct {
	Name string `cbor:"1,keyasint"`
}

func (k *Key) validate() error {
	if k.Name == "" || len(k.Name) > 63 || len(k.Hash) != 64 {
		return refuse(CodeInvalid, "key %q: allowed: a name of 1 to 63 bytes and a hash of 64 hexadecimal digits", k.Name)
	}
	if !slices.Contains([]KeyRole{RoleReader, RoleOperator, RoleSigner}, k.Role) {
		return refuse(CodeInvalid, "key %q: role %q: allowed: reader, operator, signer", k.Name, k.Role)
	}
	if (k.Role == RoleSigner) != (len(k.PublicKey) == ed25519.PublicKeySize) {
		return refuse(CodeInvalid, "key %q: allowed: an ed25519 public key of 32 bytes for role signer only", k.Name)
	}
	return nil
}

// authorize returns the key behind the command, if it is valid at this point of the log and has the role.
func (a *Applier) authorize(role KeyRole) (*Key, error) {
	k, err := get[Key](a.w, tableKeys, a.command.Actor)
	if err != nil {
		return nil, err
	}
	if k == nil || k.Revoked || !k.Role.Allows(role) {
		return nil, refuse(CodeForbidden, "key %q has no valid role %s", a.command.Actor, role)
	}
	return k, nil
}

// authorizeFleet also refuses the keys of teams.
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
		same := k.Role == old.Role && k.Team == old.Team && k.Hash == old.Hash && slices.Equal(k.PublicKey, old.PublicKey)
		switch {
		case same && !old.Revoked:
			return nil
		case old.Revoked || c.Replaces != old.Generation:
			return refuse(CodeConflict, "key %q exists with generation %d (revoked: %t)", k.Name, old.Generation, old.Revoked)
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
		return refuse(CodeNotFound, "no key %q", c.Name)
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

// keepSigner refuses the end of the last signer of the whole fleet, because nobody could add a key after it.
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
	return refuse(CodeConflict, "key %q is the last signer of the whole fleet; add another one first", k.Name)
}
