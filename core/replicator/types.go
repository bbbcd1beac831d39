package replicator

import (
	"cmp"
	"time"
)

// Member is one replica of the group; a learner receives the log but does not count in a quorum.
type Member struct {
	ID      string `cbor:"1,keyasint" json:"id"`
	Name    string `cbor:"2,keyasint" json:"name"`
	Address string `cbor:"3,keyasint" json:"address"`
	Voter   bool   `cbor:"4,keyasint" json:"voter"`
}

// EntryKind tells what a log entry carries.
type EntryKind uint8

// The kinds of log entries.
const (
	EntryCommand EntryKind = iota // a command of the state machine
	EntryNoOp                     // the first entry of a leader's term
	EntryMembers                  // the members from this index on
)

// Tag identifies a proposal, so that its proposer recognises the entry when it is applied.
type Tag struct {
	Origin uint64 `cbor:"1,keyasint"`
	Seq    uint64 `cbor:"2,keyasint"`
}

// Entry is one position of the log.
type Entry struct {
	Index   uint64    `cbor:"1,keyasint"`
	Term    uint64    `cbor:"2,keyasint"`
	Kind    EntryKind `cbor:"3,keyasint,omitempty"`
	Tag     Tag       `cbor:"4,keyasint"`
	Data    []byte    `cbor:"5,keyasint,omitempty"`
	Members []Member  `cbor:"6,keyasint,omitempty"`
}

// HardState is what a replica must store before it answers.
type HardState struct {
	Term uint64 `cbor:"1,keyasint"`
	Vote string `cbor:"2,keyasint"`
}

// SnapshotMeta names the log position that a snapshot covers and the members at that position.
type SnapshotMeta struct {
	Index   uint64   `cbor:"1,keyasint" json:"index"`
	Term    uint64   `cbor:"2,keyasint" json:"term"`
	Members []Member `cbor:"3,keyasint" json:"members"`
}

// MessageKind tells the purpose of a message between replicas.
type MessageKind uint8

// The kinds of messages.
const (
	MsgPreVote MessageKind = iota + 1
	MsgPreVoteReply
	MsgVote
	MsgVoteReply
	MsgAppend
	MsgAppendReply
	MsgHeartbeat
	MsgHeartbeatReply
	MsgSnapshot
	MsgSnapshotReply
	MsgRead
	MsgReadReply
)

// Message is what one replica sends to another. Index and LogTerm are the last log position of a candidate, the
// position before the entries of an append, or the matched position in its reply.
type Message struct {
	Kind     MessageKind   `cbor:"1,keyasint"`
	From     string        `cbor:"2,keyasint"`
	To       string        `cbor:"3,keyasint"`
	Term     uint64        `cbor:"4,keyasint"`
	Index    uint64        `cbor:"5,keyasint,omitempty"`
	LogTerm  uint64        `cbor:"6,keyasint,omitempty"`
	Entries  []Entry       `cbor:"7,keyasint,omitempty"`
	Commit   uint64        `cbor:"8,keyasint,omitempty"`
	Round    uint64        `cbor:"9,keyasint,omitempty"`
	Reject   bool          `cbor:"10,keyasint,omitempty"`
	Hint     uint64        `cbor:"11,keyasint,omitempty"`
	ReadID   uint64        `cbor:"12,keyasint,omitempty"`
	Snapshot *SnapshotMeta `cbor:"13,keyasint,omitempty"`
	Offset   uint64        `cbor:"14,keyasint,omitempty"`
	Data     []byte        `cbor:"15,keyasint,omitempty"`
	Last     bool          `cbor:"16,keyasint,omitempty"`
}

// Input is one of Message, Proposal, Read, Change, Synced and SnapshotStored. A step without inputs is a tick.
type Input interface{ input() }

// Proposal asks the leader to append a command.
type Proposal struct {
	Tag  Tag
	Data []byte
}

// Read asks for a read index round; its result carries the same ID.
type Read struct{ ID uint64 }

// ChangeKind is one of the membership changes.
type ChangeKind uint8

// The membership changes.
const (
	ChangeAddLearner ChangeKind = iota + 1
	ChangePromote
	ChangeRemove
)

// Change asks the leader for one membership change; a removal and a promotion need only the member's ID.
type Change struct {
	Tag    Tag
	Kind   ChangeKind
	Member Member
	// With names further learners that are promoted in the same entry; only a lone voter may do so.
	With []string
}

// Synced reports that the log is durable up to the entry with this index and term.
type Synced struct{ Index, Term uint64 }

// SnapshotStored reports a durable snapshot of this replica's own state; the log before the previous snapshot
// is dropped, so that a transfer of the previous one can still be completed.
type SnapshotStored struct{ Index uint64 }

func (Message) input()        {}
func (Proposal) input()       {}
func (Read) input()           {}
func (Change) input()         {}
func (Synced) input()         {}
func (SnapshotStored) input() {}

// RefusalReason says why a proposal, change or read was not taken; nothing was appended for it.
type RefusalReason string

// The reasons for a refusal.
const (
	RefusedNotLeader          RefusalReason = "not the leader"
	RefusedChangeInProgress   RefusalReason = "another membership change is in progress"
	RefusedUnknownMember      RefusalReason = "no such member"
	RefusedNotCaughtUp        RefusalReason = "the learner has not caught up"
	RefusedQuorumLoss         RefusalReason = "the members that remain reachable would be no quorum"
	RefusedNotSoleVoter       RefusalReason = "only a lone voter promotes several learners at once"
	RefusedNoChange           RefusalReason = "the membership is already so"
	RefusedTooManyUncommitted RefusalReason = "too many entries wait for a quorum"
	RefusedNoCommitInTerm     RefusalReason = "the leader has not committed an entry of its term yet"
)

// RefusedProposal is a proposal or change that was not taken.
type RefusedProposal struct {
	Tag    Tag
	Reason RefusalReason
}

// ReadResult is a confirmed read: once Index is applied, the state is at least as new as when the read began.
type ReadResult struct{ ID, Index uint64 }

// Piece is a part of a snapshot that is being received; offset 0 starts a new one.
type Piece struct {
	Meta   SnapshotMeta
	Offset uint64
	Data   []byte
	Last   bool
}

// Output is what the driver does after a step, in the order of the fields: send, store with one sync, send the
// messages that the sync protects, restore, apply.
type Output struct {
	Send          []Message     // before the sync; the driver fills Data and Last of MsgSnapshot
	State         *HardState    // to store
	Pieces        []Piece       // to store
	Install       *SnapshotMeta // the received snapshot is whole: it replaces the log and the state
	Entries       []Entry       // to store; the first one replaces all stored entries from its index on
	SendAfterSync []Message     // after the sync
	Committed     []Entry       // to apply after the sync
	Reads         []ReadResult
	Refused       []RefusedProposal
}

// MustSync reports whether the output has anything to store.
func (o *Output) MustSync() bool {
	return o.State != nil || len(o.Entries) > 0 || len(o.Pieces) > 0 || o.Install != nil
}

// Source is a seeded source of random numbers, such as math/rand/v2.PCG.
type Source interface{ Uint64() uint64 }

// Config holds the limits of a replica; zero values take the defaults.
type Config struct {
	ID                        string
	ElectionTimeoutMin        time.Duration
	ElectionTimeoutMax        time.Duration
	InitialElectionTimeoutMax time.Duration // longest wait before the first campaign after a start; 0 takes ElectionMax
	HeartbeatInterval         time.Duration
	MaxAppendBytes            int // bytes of entries in one append, at least one entry
	MaxInflight               int // unacknowledged appends to one follower
	MaxUncommitted            int // entries that may wait for a quorum at the leader
	MaxPromotionLag           uint64
	Random                    Source
	Initial                   PersistentState
	InitialCommitted          uint64 // the index that is known to be committed and applied, at least the snapshot's
}

// PersistentState is what a replica finds on its disk at start.
type PersistentState struct {
	State    HardState
	Snapshot SnapshotMeta // index 0 with the members at formation when there is no snapshot
	Base     Position     // the position before the first entry; at most the snapshot's
	Entries  []Entry
}

// Position is an index of the log and the term of its entry.
type Position struct {
	Index uint64 `cbor:"1,keyasint" json:"index"`
	Term  uint64 `cbor:"2,keyasint" json:"term"`
}

const (
	defaultShortElection  = 300 * time.Millisecond
	defaultLongElection   = 600 * time.Millisecond
	defaultHeartbeat      = 75 * time.Millisecond
	defaultMaxAppendBytes = 1 << 20
	defaultMaxInflight    = 16
	defaultMaxUncommitted = 8192
	defaultPromotionLag   = 64
)

func (c Config) withDefaults() Config {
	c.ElectionTimeoutMin = cmp.Or(c.ElectionTimeoutMin, defaultShortElection)
	c.ElectionTimeoutMax = cmp.Or(c.ElectionTimeoutMax, defaultLongElection)
	c.HeartbeatInterval = cmp.Or(c.HeartbeatInterval, defaultHeartbeat)
	c.MaxAppendBytes = cmp.Or(c.MaxAppendBytes, defaultMaxAppendBytes)
	c.MaxInflight = cmp.Or(c.MaxInflight, defaultMaxInflight)
	c.MaxUncommitted = cmp.Or(c.MaxUncommitted, defaultMaxUncommitted)
	c.MaxPromotionLag = cmp.Or(c.MaxPromotionLag, defaultPromotionLag)
	return c
}
