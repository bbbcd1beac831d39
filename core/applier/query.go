package applier

import (
	"cactusroute.dev/core/bundler"
)

// Query reads a consistent state; it may be used concurrently with Apply.
type Query struct{ tx ReadTx }

// NewQuery begins a read transaction on a store; the caller must close the query.
func NewQuery(s Store) (*Query, error) {
	tx, err := s.BeginRead()
	if err != nil {
		return nil, err
	}
	return &Query{tx: tx}, nil
}

// Close ends the read transaction.
func (q *Query) Close() error { return q.tx.Close() }

// Key returns an operator key, or nil if there is none.
func (q *Query) Key(name string) (*Key, error) { return get[Key](q.tx, tableKeys, name) }

// Keys returns all operator keys.
func (q *Query) Keys() ([]Key, error) { return getAll[Key](q.tx, tableKeys, "") }

// Bundles returns the record of every version.
func (q *Query) Bundles() ([]BundleRecord, error) {
	return getAll[BundleRecord](q.tx, tableBundles, "")
}

// Bundle returns the record and content of a version, or a RefusalError.
func (q *Query) Bundle(version uint64) (*BundleRecord, *bundler.Bundle, error) {
	return getBundle(q.tx, version)
}

// Claim returns the claim of an operation, or nil if there is none.
func (q *Query) Claim(operation string) (*ClaimRecord, error) {
	return get[ClaimRecord](q.tx, tableClaims, operation)
}

// Verdicts returns the records of all suspect and poison fingerprints.
func (q *Query) Verdicts() ([]VerdictRecord, error) {
	return getAll[VerdictRecord](q.tx, tableVerdicts, "")
}

// Endpoint returns an endpoint, or nil if there is none.
func (q *Query) Endpoint(name string) (*EndpointRecord, error) {
	return get[EndpointRecord](q.tx, tableEndpoints, name)
}

// Audit returns up to limit audit records whose number is above after.
func (q *Query) Audit(after uint64, limit int) (list []AuditRecord, err error) {
	keys, err := keysWhile(q.tx, tableAudit, numericKey(after+1), func(string) bool { limit--; return limit >= 0 })
	if err != nil {
		return nil, err
	}
	for _, k := range keys {
		r, err := get[AuditRecord](q.tx, tableAudit, k)
		if err != nil {
			return nil, err
		}
		list = append(list, *r)
	}
	return list, nil
}
