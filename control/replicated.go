package control

import (
	"cactusroute.dev/adapters/committer"
	"cactusroute.dev/adapters/transporter"
)

// replicatedCommitter adapts a committer.Committer with a data folder to Committer.
type replicatedCommitter struct{ *committer.Committer }

// newReplicatedCommitter opens the replica in the configured data folder; without peers it is the only member.
func newReplicatedCommitter(cfg *committer.Config, s *Settings, sm StateMachine) (Committer, error) {
	cfg.Name, cfg.Folder, cfg.Region = s.Place.Name, s.DataDir, s.Place.Region
	cfg.Peers = map[string]string{s.Place.Name: s.Listen}
	for _, p := range s.Peers {
		cfg.Peers[p.Name] = p.Address
	}
	c, err := committer.New(*cfg, sm)
	if err != nil {
		return nil, err
	}
	return &replicatedCommitter{c}, nil
}

// Path returns the URL path at which the other instances connect.
func (r *replicatedCommitter) Path() string { return transporter.Path }

// Status returns the latest status of the replica.
func (r *replicatedCommitter) Status() Status {
	st := r.Committer.Status()
	s := Status{
		Name: st.Name, Role: st.Role, Leader: st.Leader, IsLeader: st.Role == roleLeader, Term: st.Term,
		Commit: st.Commit, Applied: st.Applied, Snapshot: st.Snapshot, Failure: st.Failure, Members: []Member{},
	}
	for _, m := range st.Members {
		s.Members = append(s.Members, Member{Name: m.Name, ID: m.ID, Address: m.Address, Learner: !m.Voter})
	}
	for _, a := range st.Announced {
		s.Announced = append(s.Announced, Member{Name: a.Name, ID: a.ID, Address: a.Address})
	}
	return s
}
