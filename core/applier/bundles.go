package applier

import (
	"crypto/ed25519"
	"fmt"
	"slices"

	"cactusroute.dev/core/bundler"
	"cactusroute.dev/core/viewer"
)

const (
	// MaxBundleBytes limits canonical bundle content, so that a log entry fits into one message between instances.
	// A bundle of 3,800 workspaces has about 1 MB.
	MaxBundleBytes = 3 << 20
	// maxStoredContents is the number of newest versions whose content is retained. Older versions keep only their
	// record, because 2,000 changes a day of 1 MB each would fill the disk.
	maxStoredContents = 64
	// contentChunkBytes limits the size of one content row, so that snapshot chunks stay small.
	contentChunkBytes = 256 << 10
)

// Signature is a signer's approval of one bundle version.
type Signature struct {
	Signer     string `json:"signer"`
	Generation uint64 `json:"generation"`
	Signature  []byte `json:"signature"`
	Time       int64  `json:"time"`
}

// BundleRecord is the metadata of one bundle version.
type BundleRecord struct {
	Version    uint64      `json:"version"`
	Digest     string      `json:"digest"`
	Author     string      `json:"author"`
	Created    int64       `json:"created"`
	Signatures []Signature `json:"signatures,omitempty"`
	// RolledOutAt is the time of the rollout in Unix milliseconds; 0 if the version was never rolled out.
	RolledOutAt   int64  `json:"rolledOut,omitempty"`
	RestoredFrom  uint64 `json:"restoredFrom,omitempty"`
	ContentChunks int    `cbor:"pieces" json:"-"`
}

// PutBundle stores a draft bundle; Content is in canonical encoding.
type PutBundle struct {
	Content []byte `cbor:"1,keyasint"`
}

// SignBundle adds a signature over the content digest.
type SignBundle struct {
	Version   uint64 `cbor:"1,keyasint"`
	Signature []byte `cbor:"2,keyasint"`
}

// RollOutBundle puts a signed version in force.
type RollOutBundle struct {
	Version uint64 `cbor:"1,keyasint"`
}

// RestoreBundle copies an earlier version to a new draft with the next version number.
type RestoreBundle struct {
	From uint64 `cbor:"1,keyasint"`
}

// SignedMessage returns the message that a signer signs for a content digest.
func SignedMessage(digest string) []byte { return []byte("cactusroute bundle " + digest) }

func (a *Applier) putBundle(c *PutBundle) error {
	k, err := a.authorize(RoleOperator)
	if err != nil {
		return err
	}
	if len(c.Content) > MaxBundleBytes {
		return refuse(CodeInvalid, "bundle has %d bytes; the limit is %d bytes", len(c.Content), MaxBundleBytes)
	}
	// The proposer has validated the bundle. Validation is not repeated here, because it may differ between program
	// versions during an upgrade, and Apply must be deterministic across instances.
	b, err := bundler.DecodeCanonical(c.Content)
	if err != nil || b.Version == 0 {
		return refuse(CodeInvalid, "content is not a bundle with a version above 0")
	}
	if k.Team != "" && !bundler.IsWithinTeam(bundler.Diff(a.inForce, b), k.Team) {
		return refuse(CodeForbidden, "key %q of team %s may change only its team's workspaces", k.Name, k.Team)
	}
	return a.storeBundle(&BundleRecord{Version: b.Version, Digest: bundler.Digest(c.Content)}, c.Content)
}

func (a *Applier) storeBundle(r *BundleRecord, content []byte) error {
	old, err := get[BundleRecord](a.w, tableBundles, numericKey(r.Version))
	if err != nil {
		return err
	}
	if old != nil {
		a.result.Bundle = old
		if old.Digest == r.Digest {
			return nil
		}
		return refuse(CodeConflict, "bundle version %d exists with digest %s by %s", old.Version, old.Digest, old.Author)
	}
	if r.Version <= a.meta.BundleVersion {
		return refuse(CodeConflict, "bundle version %d is not above version %d in force", r.Version, a.meta.BundleVersion)
	}
	r.Author, r.Created = a.command.Actor, a.meta.Time
	for chunk := range slices.Chunk(content, contentChunkBytes) {
		if err := a.w.Put(tableContents, contentChunkKey(r.Version, r.ContentChunks), chunk); err != nil {
			return err
		}
		r.ContentChunks++
	}
	if err := put(a.w, tableBundles, numericKey(r.Version), r); err != nil {
		return err
	}
	a.meta.HighestBundle = max(a.meta.HighestBundle, r.Version)
	a.result.Bundle = r
	if err := a.deleteOldContents(); err != nil {
		return err
	}
	return a.appendAudit("store bundle", numericKey(r.Version), r.Digest)
}

func contentChunkKey(version uint64, chunk int) string {
	return fmt.Sprintf("%020d/%04d", version, chunk)
}

// deleteOldContents deletes contents beyond the retention limit, except the version in force and drafts above it.
func (a *Applier) deleteOldContents() error {
	var versions []uint64
	var lastPrefix string
	err := a.w.Range(tableContents, "", func(key string, _ []byte) bool {
		if prefix := key[:20]; prefix != lastPrefix {
			var n uint64
			if _, err := fmt.Sscanf(prefix, "%d", &n); err == nil {
				versions = append(versions, n)
			}
			lastPrefix = prefix
		}
		return true
	})
	for i := 0; err == nil && i < len(versions)-maxStoredContents && versions[i] < a.meta.BundleVersion; i++ {
		var r *BundleRecord
		if r, err = get[BundleRecord](a.w, tableBundles, numericKey(versions[i])); err != nil || r == nil {
			break
		}
		for n := range r.ContentChunks {
			if err := a.w.Delete(tableContents, contentChunkKey(r.Version, n)); err != nil {
				return err
			}
		}
	}
	return err
}

// getBundle returns the record and content of a version; the error is a RefusalError if either does not exist.
func getBundle(r Reader, version uint64) (rec *BundleRecord, b *bundler.Bundle, err error) {
	rec, err = get[BundleRecord](r, tableBundles, numericKey(version))
	if err != nil {
		return nil, nil, err
	}
	if rec == nil {
		return nil, nil, refuse(CodeNotFound, "bundle version %d not found", version)
	}
	var content []byte
	for n := range rec.ContentChunks {
		chunk, err := r.Get(tableContents, contentChunkKey(version, n))
		if err != nil {
			return nil, nil, err
		}
		content = append(content, chunk...)
	}
	if len(content) == 0 {
		return rec, nil, refuse(CodeNotFound, "content of bundle version %d is no longer stored", version)
	}
	if b, err = bundler.DecodeCanonical(content); err != nil {
		return nil, nil, fmt.Errorf("decode bundle version %d: %w", version, err)
	}
	return rec, b, nil
}

func (a *Applier) signBundle(c *SignBundle) error {
	k, err := a.authorize(RoleSigner)
	if err != nil {
		return err
	}
	rec, _, err := getBundle(a.w, c.Version)
	if err != nil {
		return err
	}
	if !ed25519.Verify(k.PublicKey, SignedMessage(rec.Digest), c.Signature) {
		return refuse(CodeInvalid, "signature of digest %s does not verify with the public key of %q", rec.Digest, k.Name)
	}
	a.result.Bundle = rec
	isSameSigner := func(s Signature) bool { return s.Signer == k.Name && s.Generation == k.Generation }
	if slices.ContainsFunc(rec.Signatures, isSameSigner) {
		return nil
	}
	rec.Signatures = append(rec.Signatures, Signature{
		Signer: k.Name, Generation: k.Generation, Signature: c.Signature, Time: a.meta.Time,
	})
	if err := put(a.w, tableBundles, numericKey(rec.Version), rec); err != nil {
		return err
	}
	return a.appendAudit("sign bundle", numericKey(rec.Version), rec.Digest)
}

func (a *Applier) rollOutBundle(c *RollOutBundle) error {
	k, err := a.authorize(RoleOperator)
	if err != nil {
		return err
	}
	rec, b, err := getBundle(a.w, c.Version)
	if err != nil {
		return err
	}
	a.result.Bundle = rec
	switch {
	case rec.Version == a.meta.BundleVersion:
		return nil
	case rec.Version < a.meta.BundleVersion:
		return refuse(CodeConflict, "version %d in force is above bundle version %d", a.meta.BundleVersion, rec.Version)
	}
	diff := bundler.Diff(a.inForce, b)
	if k.Team != "" && !bundler.IsWithinTeam(diff, k.Team) {
		return refuse(CodeForbidden, "key %q of team %s may change only its team's workspaces", k.Name, k.Team)
	}
	signed, err := a.hasValidSignature(rec, diff)
	if err != nil {
		return err
	}
	if !signed {
		return refuse(CodeConflict, "bundle version %d has no valid signature that covers its changes", rec.Version)
	}
	rec.RolledOutAt = a.meta.Time
	if err := put(a.w, tableBundles, numericKey(rec.Version), rec); err != nil {
		return err
	}
	a.meta.BundleVersion = rec.Version
	a.pendingBundle = b
	if err := a.recordBundleChanges(diff); err != nil {
		return err
	}
	return a.appendAudit("roll out bundle", numericKey(rec.Version), rec.Digest)
}

// hasValidSignature reports whether a signature is by a currently valid key whose team covers the changes.
func (a *Applier) hasValidSignature(rec *BundleRecord, diff []bundler.Difference) (bool, error) {
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

func (a *Applier) recordBundleChanges(diff []bundler.Difference) error {
	for i := range diff {
		d := &diff[i]
		switch n := d.New.(type) {
		case *bundler.Freshness:
			a.recordChange(viewer.Change{Freshness: n})
		case *bundler.Pool:
			a.recordChange(viewer.Change{Pool: n})
		case *bundler.Workspace:
			a.recordChange(viewer.Change{Workspace: n})
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
			a.recordChange(viewer.Change{FailureDomain: &f})
		default:
			if d.Kind == bundler.KindFailureDomain {
				if err := a.w.Delete(tableDomains, d.Name); err != nil {
					return err
				}
			}
			a.recordChange(viewer.Change{Removal: &viewer.Removal{Kind: viewer.Kind(d.Kind), Key: d.Name}})
		}
	}
	if len(diff) == 0 {
		a.recordChange(viewer.Change{Freshness: &a.pendingBundle.Freshness})
	}
	return nil
}

// restoreBundle is idempotent: it returns the highest version if that is already a draft of this restore, so that
// a retry after a lost response creates no second copy.
func (a *Applier) restoreBundle(c *RestoreBundle) error {
	k, err := a.authorize(RoleOperator)
	if err != nil {
		return err
	}
	_, b, err := getBundle(a.w, c.From)
	if err != nil {
		return err
	}
	last, err := get[BundleRecord](a.w, tableBundles, numericKey(a.meta.HighestBundle))
	if err != nil {
		return err
	}
	if last != nil && last.RestoredFrom == c.From && last.RolledOutAt == 0 && last.Version > a.meta.BundleVersion {
		a.result.Bundle = last
		return nil
	}
	if k.Team != "" && !bundler.IsWithinTeam(bundler.Diff(a.inForce, b), k.Team) {
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
