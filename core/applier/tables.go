package applier

import (
	"slices"
	"strings"
	"sync"
)

// Table is the name of an ordered table of the replicated state.
type Table string

// Tables of the replicated state.
const (
	tableMeta      Table = "meta"
	tableBundles   Table = "bundles"
	tableContents  Table = "contents"
	tableKeys      Table = "keys"
	tableDomains   Table = "domains"
	tableEndpoints Table = "endpoints"
	tableClaims    Table = "claims"
	tableRunning   Table = "running"
	tableExpiry    Table = "expiry"
	tableVerdicts  Table = "verdicts"
	tableAudit     Table = "audit"
)

// Tables lists every table in snapshot order.
func Tables() []Table {
	return []Table{
		tableMeta, tableBundles, tableContents, tableKeys, tableDomains, tableEndpoints, tableClaims, tableRunning,
		tableExpiry, tableVerdicts, tableAudit,
	}
}

// Reader reads tables. Returned values must not be modified and are valid only within the transaction.
type Reader interface {
	Get(t Table, key string) ([]byte, error) // nil if absent
	// Range calls fn in ascending order for the keys at or after from, until fn returns false.
	Range(t Table, from string, fn func(key string, value []byte) bool) error
}

// Writer reads and writes tables within one transaction. Range must return before the next write.
type Writer interface {
	Reader
	Put(t Table, key string, value []byte) error
	Delete(t Table, key string) error
}

// ReadTx is a read-only transaction that does not see later writes.
type ReadTx interface {
	Reader
	Close() error
}

// Store holds the tables in memory or on disk.
type Store interface {
	// Update runs fn in a transaction, which is rolled back if fn returns an error.
	Update(fn func(Writer) error) error
	// BeginRead starts a read-only transaction; the caller must close it.
	BeginRead() (ReadTx, error)
	// Reset deletes all rows.
	Reset() error
}

type row struct {
	key   string
	value []byte
}

type rows []row

func (r rows) find(key string) (int, bool) {
	return slices.BinarySearchFunc(r, key, func(a row, key string) int { return strings.Compare(a.key, key) })
}

type memoryReader struct{ tables map[Table]rows }

// Get returns the value of a key.
func (m *memoryReader) Get(t Table, key string) ([]byte, error) {
	if i, ok := m.tables[t].find(key); ok {
		return m.tables[t][i].value, nil
	}
	return nil, nil
}

// Range visits keys in ascending order.
func (m *memoryReader) Range(t Table, from string, fn func(string, []byte) bool) error {
	i, _ := m.tables[t].find(from)
	for _, r := range m.tables[t][i:] {
		if !fn(r.key, r.value) {
			return nil
		}
	}
	return nil
}

// Close does nothing.
func (m *memoryReader) Close() error { return nil }

// MemoryStore is an in-memory Store for tests and small fleets.
type MemoryStore struct {
	mu sync.RWMutex
	memoryReader
	undo []func()
}

// NewMemoryStore returns an empty store.
func NewMemoryStore() *MemoryStore {
	return &MemoryStore{memoryReader: memoryReader{tables: map[Table]rows{}}}
}

// Update runs fn and rolls back its writes if fn returns an error.
func (m *MemoryStore) Update(fn func(Writer) error) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.undo = m.undo[:0]
	err := fn(m)
	if err != nil {
		for _, f := range slices.Backward(m.undo) {
			f()
		}
	}
	return err
}

// Put sets a value.
func (m *MemoryStore) Put(t Table, key string, value []byte) error {
	i, ok := m.tables[t].find(key)
	if !ok {
		m.tables[t] = slices.Insert(m.tables[t], i, row{key: key, value: value})
		m.undo = append(m.undo, func() { m.remove(t, key) })
		return nil
	}
	old := m.tables[t][i].value
	m.undo = append(m.undo, func() { _ = m.Put(t, key, old) })
	m.tables[t][i].value = value
	return nil
}

// Delete deletes a key.
func (m *MemoryStore) Delete(t Table, key string) error {
	if i, ok := m.tables[t].find(key); ok {
		old := m.tables[t][i].value
		m.undo = append(m.undo, func() { _ = m.Put(t, key, old) })
		m.remove(t, key)
	}
	return nil
}

func (m *MemoryStore) remove(t Table, key string) {
	if i, ok := m.tables[t].find(key); ok {
		m.tables[t] = slices.Delete(m.tables[t], i, i+1)
	}
}

// BeginRead copies the rows; values are shared, because writes replace them and never modify them.
func (m *MemoryStore) BeginRead() (ReadTx, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	tx := &memoryReader{tables: make(map[Table]rows, len(m.tables))}
	for t, r := range m.tables {
		tx.tables[t] = slices.Clone(r)
	}
	return tx, nil
}

// Reset deletes all rows.
func (m *MemoryStore) Reset() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tables = map[Table]rows{}
	return nil
}
