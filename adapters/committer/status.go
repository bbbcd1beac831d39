package committer

import (
	"slices"
	"time"

	"cactusroute.dev/core/replicator"
)

// Member is one member of the control group.
type Member struct {
	ID      string `json:"id"`
	Name    string `json:"name"`
	Address string `json:"address"`
	Voter   bool   `json:"voter"`
}

// AnnouncedInstance is an instance that has announced itself recently and is not a member.
type AnnouncedInstance struct {
	ID      string `json:"id"`
	Name    string `json:"name"`
	Address string `json:"address"`
}

// Status is the state of this replica and its view of the group; it is at most one tick of 20 ms old.
type Status struct {
	Name    string `json:"name"`
	ID      string `json:"id"`
	Region  string `json:"region"`
	Cluster string `json:"cluster"` // cluster ID, empty until the replica belongs to a group
	// Role is forming, learner, follower, preCandidate, candidate, leader, notMember or stopped.
	Role      string              `json:"role"`
	Term      uint64              `json:"term"`
	Leader    string              `json:"leader"` // name, empty if unknown
	Members   []Member            `json:"members"`
	Announced []AnnouncedInstance `json:"announced"`
	Last      uint64              `json:"last"`
	Commit    uint64              `json:"commit"`
	Applied   uint64              `json:"applied"`
	Snapshot  uint64              `json:"snapshot"`
	Failure   string              `json:"failure,omitempty"` // reason why the replica has stopped
}

// Status returns the latest status.
func (c *Committer) Status() Status { return *c.status.Load() }

func (c *Committer) publishStatus() {
	s := Status{Name: c.cfg.Name, ID: c.store.ID(), Region: c.cfg.Region, Cluster: c.cluster, Role: "forming"}
	if c.replica != nil {
		c.setReplicaStatus(&s)
	}
	for _, p := range c.announcedPeers {
		known := slices.ContainsFunc(s.Members, func(m Member) bool { return m.ID == p.ID })
		if !known && time.Since(p.receivedAt) <= announcementTTL {
			s.Announced = append(s.Announced, AnnouncedInstance{ID: p.ID, Name: p.Name, Address: p.Address})
		}
	}
	if c.failure != nil {
		s.Role, s.Failure = "stopped", c.failure.Error()
	}
	c.status.Store(&s)
}

func (c *Committer) setReplicaStatus(s *Status) {
	r := c.replica.Status()
	s.Role, s.Term, s.Last, s.Commit, s.Applied, s.Snapshot =
		r.Role.String(), r.Term, r.Last, r.Commit, c.applied, r.Snapshot
	own := findMember(r.Members, func(m replicator.Member) bool { return m.ID == r.ID })
	switch {
	case own == nil:
		s.Role = "notMember"
	case !own.Voter:
		s.Role = "learner"
	}
	if r.Leader != "" {
		s.Leader = c.leaderName()
	}
	for _, m := range r.Members {
		s.Members = append(s.Members, Member(m))
	}
}
