package replicator

// entryOverheadBytes is the encoded size of an entry without its data, rounded up.
const entryOverheadBytes = 64

// entryLog is the part of the log after base, with the membership history of that part.
type entryLog struct {
	base    Position
	entries []Entry
	members []membersAt // ascending; the first one applies at base
}

type membersAt struct {
	index   uint64
	members []Member
}

func newEntryLog(s PersistentState) entryLog {
	l := entryLog{base: s.Base, members: []membersAt{{s.Snapshot.Index, s.Snapshot.Members}}}
	l.entries = append(l.entries, s.Entries...)
	for _, e := range s.Entries {
		if e.Kind == EntryMembers && e.Index > s.Snapshot.Index {
			l.members = append(l.members, membersAt{e.Index, e.Members})
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

// term returns the term of the entry at an index, and false when the log does not hold it.
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
		l.members = append(l.members, membersAt{e.Index, e.Members})
	}
}

// truncate drops the entries from an index on and the membership changes among them.
func (l *entryLog) truncate(from uint64) {
	n := from - l.base.Index - 1
	// The capacity is cut too, so that slices handed out earlier are not overwritten.
	l.entries = l.entries[:n:n]
	for len(l.members) > 1 && l.members[len(l.members)-1].index >= from {
		l.members = l.members[:len(l.members)-1]
	}
}

// slice returns the entries in [from, to], limited to a size but at least one.
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

// compact drops the entries up to an index.
func (l *entryLog) compact(to Position) {
	if to.Index <= l.base.Index {
		return
	}
	l.entries = append([]Entry(nil), l.entries[to.Index-l.base.Index:]...)
	l.base = to
	for len(l.members) > 1 && l.members[1].index <= to.Index {
		l.members = l.members[1:]
	}
}

// reset replaces the log with a snapshot.
func (l *entryLog) reset(m SnapshotMeta) {
	*l = entryLog{base: Position{m.Index, m.Term}, members: []membersAt{{m.Index, m.Members}}}
}

// latest returns the members in force, which are those of the last change in the log, committed or not.
func (l *entryLog) latest() membersAt { return l.members[len(l.members)-1] }

// at returns the members in force at an index.
func (l *entryLog) at(index uint64) []Member {
	for i := len(l.members) - 1; i > 0; i-- {
		if l.members[i].index <= index {
			return l.members[i].members
		}
	}
	return l.members[0].members
}
