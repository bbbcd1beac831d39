package replicator

// entryOverheadBytes is an upper bound of the encoded size of an entry without its data.
const entryOverheadBytes = 64

// entryLog holds the log entries after base and the memberships that they set.
type entryLog struct {
	base        Position
	entries     []Entry
	memberships []membership // ascending by index; the first one is in force at base
}

// membership is the set of members in force from an index on.
type membership struct {
	index   uint64
	members []Member
}

func newEntryLog(s PersistentState) entryLog {
	l := entryLog{base: s.Base, memberships: []membership{{s.Snapshot.Index, s.Snapshot.Members}}}
	l.entries = append(l.entries, s.Entries...)
	for _, e := range s.Entries {
		if e.Kind == EntryMembers && e.Index > s.Snapshot.Index {
			l.memberships = append(l.memberships, membership{e.Index, e.Members})
		}
	}
	return l
}

func (l *entryLog) last() Position {
	if n := len(l.entries); n > 0 {
		return Position{l.entries[n-1].Index, l.entries[n-1].Term}
	}
	return l.base
}

// term returns the term of the entry at an index, and false if the entry is not in the log.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.base.Index:
		return l.base.Term, true
	case index < l.base.Index || index > l.last().Index:
		return 0, false
	default:
		return l.entries[index-l.base.Index-1].Term, true
	}
}

func (l *entryLog) append(e Entry) {
	l.entries = append(l.entries, e)
	if e.Kind == EntryMembers {
		l.memberships = append(l.memberships, membership{e.Index, e.Members})
	}
}

// truncate removes the entries from an index on and the memberships that they set.
func (l *entryLog) truncate(from uint64) {
	n := from - l.base.Index - 1
	// The capacity is cut too, so that later appends don't overwrite slices that were returned earlier.
	l.entries = l.entries[:n:n]
	for len(l.memberships) > 1 && l.memberships[len(l.memberships)-1].index >= from {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
}

// slice returns the entries in [from, to] up to maxBytes, but at least one entry.
func (l *entryLog) slice(from, to uint64, maxBytes int) []Entry {
	if from > to || from <= l.base.Index {
		return nil
	}
	all := l.entries[from-l.base.Index-1 : to-l.base.Index]
	size := 0
	for i := range all {
		size += len(all[i].Data) + entryOverheadBytes
		if size > maxBytes && i > 0 {
			return all[:i:i]
		}
	}
	return all[:len(all):len(all)]
}

// compact removes the entries up to a position, which becomes the base.
func (l *entryLog) compact(to Position) {
	if to.Index <= l.base.Index {
		return
	}
	l.entries = append([]Entry(nil), l.entries[to.Index-l.base.Index:]...)
	l.base = to
	for len(l.memberships) > 1 && l.memberships[1].index <= to.Index {
		l.memberships = l.memberships[1:]
	}
}

// resetToSnapshot replaces the log with an empty one that starts at a snapshot.
func (l *entryLog) resetToSnapshot(m SnapshotMeta) {
	*l = entryLog{base: Position{m.Index, m.Term}, memberships: []membership{{m.Index, m.Members}}}
}

// latestMembership returns the membership in force, which is the last one in the log, committed or not.
func (l *entryLog) latestMembership() membership { return l.memberships[len(l.memberships)-1] }

// membersAt returns the members in force at an index.
func (l *entryLog) membersAt(index uint64) []Member {
	for i := len(l.memberships) - 1; i > 0; i-- {
		if l.memberships[i].index <= index {
			return l.memberships[i].members
		}
	}
	return l.memberships[0].members
}
