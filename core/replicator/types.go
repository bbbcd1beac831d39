package replicator

import (
	"cmp"
	"time"
)

// Member is one replica of the group; a member that is no voter is a learner, which receives the log but does not count
// in a quorum.
type Member struct {
	ID      string `cbor:"1,keyasint" json:"id"`
	Name    string `cbor:"2,keyasint" json:"name"`
	Address string `cbor:"3,keyasint" json:"address"`
	Voter   bool   `cbor:"4,keyasint" json:"voter"`
}

// EntryKind is the type of a log entry.
type EntryKind uint8

// The kinds of log entries.
const (
	EntryCommand EntryKind = iota // a command of the state machine
	EntryNoOp                     // starts a leader's term; commits the entries of earlier terms
	EntryMembers                  // sets the members from its index on
)

// Tag identifies a proposal, so that its proposer recognizes the applied entry.
type Tag struct {
	Origin uint64 `cbor:"1,keyasint"`
	Seq    uint64 `cbor:"2,keyasint"`
}

// Entry is one entry of the log.
type Entry struct {
	Index   uint64    `cbor:"1,keyasint"`
	Term    uint64    `cbor:"2,keyasint"`
	Kind    EntryKind `cbor:"3,keyasint,omitempty"`
	Tag     Tag       `cbor:"4,keyasint"`
	Data    []byte    `cbor:"5,keyasint,omitempty"`
	Members []Member  `cbor:"6,keyasint,omitempty"`
}

// HardState is the term and vote that a replica must store before it replies.
type HardState struct {
	Term uint64 `cbor:"1,keyasint"`
	Vote string `cbor:"2,keyasint"`
}

// SnapshotMeta is the last log position that a snapshot covers and the members at that position.
type SnapshotMeta struct {
	Index   uint64   `cbor:"1,keyasint" json:"index"`
	Term    uint64   `cbor:"2,keyasint" json:"term"`
	Members []Member `cbor:"3,keyasint" json:"members"`
}

// MessageKind is the type of a message between replicas.
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

// Message is sent from one replica to another. Index and LogTerm are the last log position in a vote request and the
// position before the entries in an append; Index is the matched position in its reply.
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

// Input is a Message, Proposal, Read, Change, Synced or SnapshotStored. A step without inputs only handles timeouts.
type Input interface{ input() }

// Proposal asks the leader to append a command.
type Proposal struct {
	Tag  Tag
	Data []byte
}

// Read requests a read index, which is returned in a ReadResult with the same ID.
type Read struct{ ID uint64 }

// ChangeKind is the type of a membership change.
type ChangeKind uint8

// The kinds of membership changes.
const (
	ChangeAddLearner ChangeKind = iota + 1
	ChangePromote
	ChangeRemove
)

// Change asks the leader for one membership change; a promotion or removal needs only the member's ID. Control
// instances forward it in CBOR under its field names.
type Change struct {
	Tag    Tag
	Kind   ChangeKind
	Member Member
	// With lists the IDs of further learners to promote in the same entry, which only a lone voter may do.
	With []string
}

// Synced reports that the log is durable up to the entry with this index and term.
type Synced struct{ Index, Term uint64 }

// SnapshotStored reports that a snapshot of this replica's own state is durable. The log is compacted only up to the
// previous snapshot, so that a follower can still complete the transfer of that one.
type SnapshotStored struct{ Index uint64 }

func (Message) input()        {}
func (Proposal) input()       {}
func (Read) input()           {}
func (Change) input()         {}
func (Synced) input()         {}
func (SnapshotStored) input() {}

// RefusalReason is the reason why a proposal or change was not appended. The texts are sent to other instances, which
// compare them.
type RefusalReason string

// The reasons for a refusal.
const (
	RefusedNotLeader          RefusalReason = "not the leader"
	RefusedChangeInProgress   RefusalReason = "another membership change is in progress"
	RefusedUnknownMember      RefusalReason = "no such member"
	RefusedNotCaughtUp        RefusalReason = "the learner has not caught up"
	RefusedQuorumLoss         RefusalReason = "the members that remain reachable would be no quorum"
	RefusedNotLoneVoter       RefusalReason = "only a lone voter promotes several learners at once"
	RefusedNoChange           RefusalReason = "the membership is already so"
	RefusedTooManyUncommitted RefusalReason = "too many entries wait for a quorum"
	RefusedNoCommitInTerm     RefusalReason = "the leader has not committed an entry of its term yet"
)

// RefusedProposal is a proposal or change that was not appended.
type RefusedProposal struct {
	Tag    Tag
	Reason RefusalReason
}

// ReadResult is a confirmed read: once Index is applied, the state includes all entries committed before the read.
type ReadResult struct{ ID, Index uint64 }

// Piece is a byte range of a snapshot that is being received; offset 0 starts a new snapshot.
type Piece struct {
	Meta   SnapshotMeta
	Offset uint64
	Data   []byte
	Last   bool
}

// Output is the work of the driver after a step, in the order of the fields: send, store with one sync, send the
// messages that depend on the sync, restore, apply.
type Output struct {
	Send          []Message     // to send before the sync; the driver sets Data and Last of MsgSnapshot
	State         *HardState    // to store
	Pieces        []Piece       // to store
	Install       *SnapshotMeta // completely received snapshot, which replaces the log and the state
	Entries       []Entry       // to store; they replace all stored entries from the first index on
	SendAfterSync []Message     // to send after the sync
	Committed     []Entry       // to apply after the sync
	Reads         []ReadResult
	Refused       []RefusedProposal
}

// MustSync reports whether the output contains data to store.
func (o *Output) MustSync() bool {
	return o.State != nil || len(o.Entries) > 0 || len(o.Pieces) > 0 || o.Install != nil
}

// Source is a seeded source of random numbers, such as math/rand/v2.PCG.
type Source interface{ Uint64() uint64 }

// Config configures a replica; zero durations and limits take the defaults.
type Config struct {
	ID                        string
	MinElectionTimeout        time.Duration
	MaxElectionTimeout        time.Duration
	MaxInitialElectionTimeout time.Duration // of the first campaign; 0 takes a regular timeout
	HeartbeatInterval         time.Duration
	MaxAppendBytes            int    // bytes of entries in one append, at least one entry
	MaxInflight               int    // limit of unacknowledged appends to one follower
	MaxUncommitted            int    // limit of uncommitted entries at the leader
	MaxPromotionLag           uint64 // limit of entries that a promoted learner may lack
	Random                    Source
	Initial                   PersistentState
	InitialCommitted          uint64 // index that is known to be committed and applied, at least the snapshot's
}

// PersistentState is the state that a replica loads from disk at start.
type PersistentState struct {
	State    HardState
	Snapshot SnapshotMeta // index 0 and the initial members if there is no snapshot
	Base     Position     // position before the first entry, at most the snapshot's
	Entries  []Entry
}

// Position is a log index and the term of the entry there.
type Position struct {
	Index uint64 `cbor:"1,keyasint" json:"index"`
	Term  uint64 `cbor:"2,keyasint" json:"term"`
}

const (
	defaultMinElectionTimeout = 300 * time.Millisecond
	defaultMaxElectionTimeout = 600 * time.Millisecond
	defaultHeartbeatInterval  = 75 * time.Millisecond
	defaultMaxAppendBytes     = 1 << 20
	defaultMaxInflight        = 16
	defaultMaxUncommitted     = 8192
	defaultMaxPromotionLag    = 64
)

func (c Config) withDefaults() Config {
	c.MinElectionTimeout = cmp.Or(c.MinElectionTimeout, defaultMinElectionTimeout)
	c.MaxElectionTimeout = cmp.Or(c.MaxElectionTimeout, defaultMaxElectionTimeout)
	c.HeartbeatInterval = cmp.Or(c.HeartbeatInterval, defaultHeartbeatInterval)
	c.MaxAppendBytes = cmp.Or(c.MaxAppendBytes, defaultMaxAppendBytes)
	c.MaxInflight = cmp.Or(c.MaxInflight, defaultMaxInflight)
	c.MaxUncommitted = cmp.Or(c.MaxUncommitted, defaultMaxUncommitted)
	c.MaxPromotionLag = cmp.Or(c.MaxPromotionLag, defaultMaxPromotionLag)
	return c
}
