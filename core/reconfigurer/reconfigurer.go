package reconfigurer

import (
	"time"

	"cactusroute.dev/core/replicator"
)

const (
	// MaxVoters bounds the quorum round; further instances stay learners and take the place of a lost voter.
	MaxVoters = 7

	// wipedAfter is how long a voter must be silent whose instance has come back with an empty folder: it can't return.
	wipedAfter = 500 * time.Millisecond

	// removeAfter is how long a voter beyond the needed ones must be silent before the group goes on without it. Most
	// restarts are shorter, and a successor must be useful within some seconds.
	removeAfter = 3 * time.Second
)

// Instance is an instance with a disk that has announced itself lately.
type Instance struct {
	ID      string
	Name    string
	Address string
}

// Input is what the leader knows.
type Input struct {
	Now         time.Time
	Self        string
	Members     []replicator.Member
	LastContact map[string]time.Time // when each other member was last heard
	Announced   []Instance           // those that belong to the group or to none
	IsCaughtUp  func(id string) bool
	// MinVoters is the number of voters that the tolerated losses need; fewer are never left on purpose.
	MinVoters int
}

// NextChange returns the next change towards a group of live voters, one at a time; false when none is due. A successor is
// promoted before the lost voter is removed: in between an entry is on as many disks as before, and a lost voter that
// comes back with its disk still counts.
func NextChange(in Input) (replicator.Change, bool) {
	if ch, ok := addLearner(in); ok {
		return ch, true
	}
	voters, learners := 0, []replicator.Member(nil)
	for _, m := range in.Members {
		switch {
		case m.Voter:
			voters++
		case in.announced(m.ID) && in.IsCaughtUp(m.ID):
			learners = append(learners, m)
		}
	}
	lost := in.lostVoter()
	switch {
	case voters == 1 && in.MinVoters > 1:
		if ch, ok := form(learners, in.MinVoters); ok {
			return ch, true
		}
	case len(learners) > 0 && voters < MaxVoters:
		return replicator.Change{Kind: replicator.ChangePromote, Member: learners[0]}, true
	case lost != nil && (voters > in.MinVoters || len(learners) > 0):
		return replicator.Change{Kind: replicator.ChangeRemove, Member: *lost}, true
	}
	return removeLearner(in)
}

// form makes a lone voter and enough learners the first voters in one change: a group of two could not lose a disk.
func form(learners []replicator.Member, minVoters int) (replicator.Change, bool) {
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

func (in *Input) announced(id string) bool {
	for _, c := range in.Announced {
		if c.ID == id {
			return true
		}
	}
	return false
}

// wiped reports whether the instance of a member runs under a new identity.
func (in *Input) wiped(m replicator.Member) bool {
	for _, c := range in.Announced {
		if c.Name == m.Name && c.ID != m.ID {
			return true
		}
	}
	return false
}

// lostVoter returns a voter that is silent for so long that the group goes on without it.
func (in *Input) lostVoter() *replicator.Member {
	for i, m := range in.Members {
		if !m.Voter || m.ID == in.Self {
			continue
		}
		silent := in.Now.Sub(in.LastContact[m.ID])
		if silent >= removeAfter || silent >= wipedAfter && in.wiped(m) {
			return &in.Members[i]
		}
	}
	return nil
}

// removeLearner drops a learner that is gone or was replaced, so that the leader stops sending to it.
func removeLearner(in Input) (replicator.Change, bool) {
	for _, m := range in.Members {
		if !m.Voter && !in.announced(m.ID) && in.Now.Sub(in.LastContact[m.ID]) >= removeAfter {
			return replicator.Change{Kind: replicator.ChangeRemove, Member: m}, true
		}
	}
	return replicator.Change{}, false
}
