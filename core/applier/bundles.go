package applier

import (
	"crypto/ed25519"
	"fmt"
	"slices"

	"cactusroute.dev/core/bundler"
	"cactusroute.dev/core/viewer"
)

const (
	// MaxBundleBytes bounds canonical content, so that one entry fits into one message between instances; a
	// bundle of 3,800 workspaces has about 1 MB.
	MaxBundleBytes = 3 << 20
	// contentsKept is how many newest versions keep their content; older ones keep only their record, because
	// 2,000 changes a day of 1 MB each would fill the disk.
	contentsKept = 64
	// pieceBytes bounds one row, so that snapshot chunks stay small.
	pieceBytes = 256 << 10
)

// Signature is a sign-off of one bundle version.
type Signature struct {
	Signer     string `json:"signer"`
	Generation uint64 `json:"generation"`
	Signature  []byte `json:"signature"`
	Time       int64  `json:"time"`
}

// BundleRecord describes one bundle version.
type BundleRecord struct {
	Version    uint64      `json:"version"`
	Digest     string      `json:"digest"`
	Author     string      `json:"author"`
	Created    int64       `json:"created"`
	Signatures []Signature `json:"signatures,omitempty"`
	// RolledOut is when the version came into force, in Unix milliseconds; 0 if never.
	RolledOut    int64  `json:"rolledOut,omitempty"`
	RestoredFrom uint64 `json:"restoredFrom,omitempty"`
	Pieces       int    `cbor:"pieces" json:"-"`
}

// PutBundle stores a draft; content is canonical.
type PutBundle struct {
	Content []byte `cbor:"1,keyasint"`
}

// Sign adds a signature over the content digest.
type Sign struct {
	VersionOf uint64 `cbor:"1,keyasint"`
	Signature []byte `cbor:"2,keyasint"`
}

// Rollout puts a signed version in force.
type Rollout struct {
	VersionOf uint64 `cbor:"1,keyasint"`
}

// Restore copies an earlier version as a new draft with the next version.
type Restore struct {
	From uint64 `cbor:"1,keyasint"`
}

// SignedMessage returns the bytes that a signer signs for a content digest.
func SignedMessage(digest string) []byte { return []byte("cactusroute bundle " + digest) }

func (a *Applier) putBundle(c *PutBundle) error {
	k, err := a.authorize(RoleOperator)
	if err != nil {
		return err
	}
	if len(c.Content) > MaxBundleBytes {
		return refuse(CodeInvalid, "bundle has %d bytes; allowed: at most %d", len(c.Content), MaxBundleBytes)
	}
	// The proposer has checked the bundle. The checks are not repeated here, because they may differ between
	// program versions during an upgrade, and every instance must come to the same result.
	b, err := bundler.DecodeCanonical(c.Content)
	if err != nil || b.Version == 0 {
		return refuse(CodeInvalid, "content is not a bundle with a version")
	}
	if k.Team != "" && !bundler.IsWithinTeam(bundler.Diff(a.force, b), k.Team) {
		return refuse(CodeForbidden, "key %q of team %s may change only its team's workspaces", k.Name, k.Team)
	}
	return a.storeBundle(&BundleRecord{Version: b.Version, Digest: bundler.Digest(c.Content)}, c.Content)
}

func (a *Applier) storeBundle(r *BundleRecord, content []byte) error {
	old, err := get[BundleRecord](a.w, tableBundles, number(r.Version))
	if err != nil {
		return err
	}
	if old != nil {
		a.result.Bundle = old
		if old.Digest == r.Digest {
			return nil
		}
		return refuse(CodeConflict, "version %d is taken by content %s of %s", old.Version, old.Digest, old.Author)
	}
	if r.Version <= a.meta.BundleVersion {
		return refuse(CodeConflict, "version %d is not above version %d, which is in force", r.Version, a.meta.BundleVersion)
	}
	r.Author, r.Created = a.command.Actor, a.meta.Time
	for piece := range slices.Chunk(content, pieceBytes) {
		if err := a.w.Put(tableContents, pieceKey(r.Version, r.Pieces), piece); err != nil {
			return err
		}
		r.Pieces++
	}
	if err := put(a.w, tableBundles, number(r.Version), r); err != nil {
		return err
	}
	a.meta.HighestBundle = max(a.meta.HighestBundle, r.Version)
	a.result.Bundle = r
	if err := a.dropOldContents(); err != nil {
		return err
	}
	return a.audit("store bundle", number(r.Version), r.Digest)
}

func pieceKey(version uint64, piece int) string { return fmt.Sprintf("%020d/%04d", version, piece) }

// dropOldContents never drops the version in force or a draft above it.
func (a *Applier) dropOldContents() error {
	var versions []uint64
	var last string
	err := a.w.Range(tableContents, "", func(key string, _ []byte) bool {
		if p := key[:20]; p != last {
			var n uint64
			if _, err := fmt.Sscanf(p, "%d", &n); err == nil {
				versions = append(versions, n)
			}
			last = p
		}
		return true
	})
	for i := 0; err == nil && i < len(versions)-contentsKept && versions[i] < a.meta.BundleVersion; i++ {
		var r *BundleRecord
		if r, err = get[BundleRecord](a.w, tableBundles, number(versions[i])); err != nil || r == nil {
			break
		}
		for n := range r.Pieces {
			if err := a.w.Delete(tableContents, pieceKey(r.Version, n)); err != nil {
				return err
			}
		}
	}
	return err
}

// bundle returns the record and content of a version, or a refusal.
func bundle(r Reader, version uint64) (rec *BundleRecord, b *bundler.Bundle, err error) {
	rec, err = get[BundleRecord](r, tableBundles, number(version))
	if err != nil {
		return nil, nil, err
	}
	if rec == nil {
		return nil, nil, refuse(CodeNotFound, "no bundle version %d", version)
	}
	var content []byte
	for n := range rec.Pieces {
		p, err := r.Get(tableContents, pieceKey(version, n))
		if err != nil {
			return nil, nil, err
		}
		content = append(content, p...)
	}
	if len(content) == 0 {
		return rec, nil, refuse(CodeNotFound, "content of bundle version %d is no longer kept", version)
	}
	if b, err = bundler.DecodeCanonical(content); err != nil {
		return nil, nil, fmt.Errorf("decode bundle version %d: %w", version, err)
	}
	return rec, b, nil
}

func (a *Applier) sign(c *Sign) error {
	k, err := a.authorize(RoleSigner)
	if err != nil {
		return err
	}
	rec, _, err := bundle(a.w, c.VersionOf)
	if err != nil {
		return err
	}
	if !ed25519.Verify(k.PublicKey, SignedMessage(rec.Digest), c.Signature) {
		return refuse(CodeInvalid, "signature does not fit digest %s and the public key of %q", rec.Digest, k.Name)
	}
	a.result.Bundle = rec
	same := func(s Signature) bool { return s.Signer == k.Name && s.Generation == k.Generation }
	if slices.ContainsFunc(rec.Signatures, same) {
		return nil
	}
	rec.Signatures = append(rec.Signatures, Signature{
		Signer: k.Name, Generation: k.Generation, Signature: c.Signature, Time: a.meta.Time,
	})
	if err := put(a.w, tableBundles, number(rec.Version), rec); err != nil {
		return err
	}
	return a.audit("sign bundle", number(rec.Version), rec.Digest)
}

func (a *Applier) rollout(c *Rollout) error {
	k, err := a.authorize(RoleOperator)
	if err != nil {
		return err
	}
	rec, b, err := bundle(a.w, c.VersionOf)
	if err != nil {
		return err
	}
	a.result.Bundle = rec
	switch {
	case rec.Version == a.meta.BundleVersion:
		return nil
	case rec.Version < a.meta.BundleVersion:
		return refuse(CodeConflict, "version %d is in force, which is higher than %d", a.meta.BundleVersion, rec.Version)
	}
	diff := bundler.Diff(a.force, b)
	if k.Team != "" && !bundler.IsWithinTeam(diff, k.Team) {
		return refuse(CodeForbidden, "key %q of team %s may change only its team's workspaces", k.Name, k.Team)
	}
	signed, err := a.isSigned(rec, diff)
	if err != nil {
		return err
	}
	if !signed {
		return refuse(CodeConflict, "version %d has no valid signature for its changes", rec.Version)
	}
	rec.RolledOut = a.meta.Time
	if err := put(a.w, tableBundles, number(rec.Version), rec); err != nil {
		return err
	}
	a.meta.BundleVersion = rec.Version
	a.pending = b
	if err := a.changeForce(diff); err != nil {
		return err
	}
	return a.audit("roll out bundle", number(rec.Version), rec.Digest)
}

// isSigned counts only signers that are valid now and whose team covers the changes.
func (a *Applier) isSigned(rec *BundleRecord, diff []bundler.Difference) (bool, error) {
	for _, s := range rec.Signatures {
		k, err := get[Key](a.w, tableKeys, s.Signer)
		if err != nil {
			return false, err
		}
		if k != nil && !k.Revoked && k.Role == RoleSigner && k.Generation == s.Generation &&
			(k.Team == "" || bundler.IsWithinTeam(diff, k.Team)) {
			return true, nil
		}
	}
	return false, nil
}

func (a *Applier) changeForce(diff []bundler.Difference) error {
	for i := range diff {
		d := &diff[i]
		switch n := d.New.(type) {
		case *bundler.Freshness:
			a.change(viewer.Change{Freshness: n})
		case *bundler.Pool:
			a.change(viewer.Change{Pool: n})
		case *bundler.Workspace:
			a.change(viewer.Change{Workspace: n})
		case *bundler.FailureDomain:
			f := viewer.FailureDomain{Name: n.Name, Region: n.Region}
			old, err := get[viewer.FailureDomain](a.w, tableDomains, n.Name)
			if err != nil {
				return err
			}
			if old != nil {
				f.OutOfService = old.OutOfService
			}
			if err := put(a.w, tableDomains, f.Name, &f); err != nil {
				return err
			}
			a.change(viewer.Change{FailureDomain: &f})
		default:
			if d.Kind == bundler.KindFailureDomain {
				if err := a.w.Delete(tableDomains, d.Name); err != nil {
					return err
				}
			}
			a.change(viewer.Change{Removal: &viewer.Removal{Kind: viewer.Kind(d.Kind), Key: d.Name}})
		}
	}
	if len(diff) == 0 {
		a.change(viewer.Change{Freshness: &a.pending.Freshness})
	}
	return nil
}

// restoreBundle gives the same draft again when the highest version already is this restore and still a draft,
// so that a command sent again after a lost answer makes no second copy.
func (a *Applier) restoreBundle(c *Restore) error {
	k, err := a.authorize(RoleOperator)
	if err != nil {
		return err
	}
	_, b, err := bundle(a.w, c.From)
	if err != nil {
		return err
	}
	last, err := get[BundleRecord](a.w, tableBundles, number(a.meta.HighestBundle))
	if err != nil {
		return err
	}
	if last != nil && last.RestoredFrom == c.From && last.RolledOut == 0 && last.Version > a.meta.BundleVersion {
		a.result.Bundle = last
		return nil
	}
	if k.Team != "" && !bundler.IsWithinTeam(bundler.Diff(a.force, b), k.Team) {
		return refuse(CodeForbidden, "key %q of team %s may change only its team's workspaces", k.Name, k.Team)
	}
	b.Version = max(a.meta.HighestBundle, a.meta.BundleVersion) + 1
	content, err := bundler.EncodeCanonical(b)
	if err != nil {
		return fmt.Errorf("encode bundle: %w", err)
	}
	return a.storeBundle(
		&BundleRecord{Version: b.Version, Digest: bundler.Digest(content), RestoredFrom: c.From}, content)
}
