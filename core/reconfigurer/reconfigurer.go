package reconfigurer

import (
	"time"

	"cactusroute.dev/core/replicator"
)

const (
	// MaxVoters limits the cost of a quorum round; further instances stay learners and can replace a lost voter.
	MaxVoters = 7

	// replacedVoterTimeout is the time without contact after which a voter is lost whose instance has announced a new
	// ID. It is short, because the old ID can't return: the instance has lost its data folder.
	replacedVoterTimeout = 500 * time.Millisecond

	// removalTimeout is the time without contact after which any other member may be removed. Most restarts are shorter,
	// and a replacement must be a voter within some seconds.
	removalTimeout = 3 * time.Second
)

// Instance is a control instance with a disk that has announced itself recently.
type Instance struct {
	ID      string
	Name    string
	Address string
}

// Input is the leader's view of the group.
type Input struct {
	Now         time.Time
	Self        string
	Members     []replicator.Member
	LastContact map[string]time.Time // by ID of each other member
	Announced   []Instance           // instances that don't belong to another group
	IsCaughtUp  func(id string) bool
	// MinVoters is the number of voters that the fault tolerance requires. A removal leaves fewer only if a learner can
	// be promoted next.
	MinVoters int
}

// NextChange returns the next membership change, or false if none is due. A replacement is promoted before the lost
// voter is removed, so that entries stay on as many disks as before, and a lost voter that returns with its disk still
// counts.
func NextChange(in Input) (replicator.Change, bool) {
	if ch, ok := addLearner(in); ok {
		return ch, true
	}
	voters, learners := 0, []replicator.Member(nil)
	for _, m := range in.Members {
		switch {
		case m.Voter:
			voters++
		case in.isAnnounced(m.ID) && in.IsCaughtUp(m.ID):
			learners = append(learners, m)
		}
	}
	lost := in.lostVoter()
	switch {
	case voters == 1 && in.MinVoters > 1:
		if ch, ok := promoteInitialVoters(learners, in.MinVoters); ok {
			return ch, true
		}
	case len(learners) > 0 && voters < MaxVoters:
		return replicator.Change{Kind: replicator.ChangePromote, Member: learners[0]}, true
	case lost != nil && (voters > in.MinVoters || len(learners) > 0):
		return replicator.Change{Kind: replicator.ChangeRemove, Member: *lost}, true
	}
	return removeLearner(in)
}

// promoteInitialVoters promotes the learners of a lone voter in one change once there are enough of them, because a
// group of two voters would not survive the loss of a disk.
func promoteInitialVoters(learners []replicator.Member, minVoters int) (replicator.Change, bool) {
	if 1+len(learners) < minVoters {
		return replicator.Change{}, false
	}
	ch := replicator.Change{Kind: replicator.ChangePromote, Member: learners[0]}
	for _, m := range learners[1:min(len(learners), MaxVoters-1)] {
		ch.With = append(ch.With, m.ID)
	}
	return ch, true
}

func addLearner(in Input) (replicator.Change, bool) {
	for _, c := range in.Announced {
		known := false
		for _, m := range in.Members {
			known = known || m.ID == c.ID
		}
		if !known {
			m := replicator.Member{ID: c.ID, Name: c.Name, Address: c.Address}
			return replicator.Change{Kind: replicator.ChangeAddLearner, Member: m}, true
		}
	}
	return replicator.Change{}, false
}

func (in *Input) isAnnounced(id string) bool {
	for _, c := range in.Announced {
		if c.ID == id {
			return true
		}
	}
	return false
}

// hasNewIdentity reports whether the instance of a member has announced itself with another ID.
func (in *Input) hasNewIdentity(m replicator.Member) bool {
	for _, c := range in.Announced {
		if c.Name == m.Name && c.ID != m.ID {
			return true
		}
	}
	return false
}

// lostVoter returns a voter that has missed its contact timeout, or nil if there is none.
func (in *Input) lostVoter() *replicator.Member {
	for i, m := range in.Members {
		if !m.Voter || m.ID == in.Self {
			continue
		}
		sinceContact := in.Now.Sub(in.LastContact[m.ID])
		if sinceContact >= removalTimeout || sinceContact >= replacedVoterTimeout && in.hasNewIdentity(m) {
			return &in.Members[i]
		}
	}
	return nil
}

// removeLearner removes a lost or replaced learner, so that the leader stops sending to it.
func removeLearner(in Input) (replicator.Change, bool) {
	for _, m := range in.Members {
		if !m.Voter && !in.isAnnounced(m.ID) && in.Now.Sub(in.LastContact[m.ID]) >= removalTimeout {
			return replicator.Change{Kind: replicator.ChangeRemove, Member: m}, true
		}
	}
	return replicator.Change{}, false
}
