package committer

import (
	"context"
	crand "crypto/rand"
	"fmt"
	"maps"
	"slices"
	"time"

	"cactusroute.dev/adapters/storer"
	"cactusroute.dev/adapters/transporter"
	"cactusroute.dev/core/reconfigurer"
	"cactusroute.dev/core/replicator"
)

const (
	// announceInterval applies until the replica belongs to a group, memberAnnounceInterval afterwards.
	announceInterval       = 100 * time.Millisecond
	memberAnnounceInterval = time.Second

	// announcementTTL is the time after which an announcement is ignored.
	announcementTTL = 3 * time.Second

	// membershipChangeInterval is the interval between two automatic membership changes.
	membershipChangeInterval = 200 * time.Millisecond

	// replacementTimeout is the silence after which a former ID is replaced. It prevents a second process under the
	// name of a running instance from replacing it.
	replacementTimeout = 2 * time.Second
)

// announce sends an announcement to all peers, and creates the group if this is due.
func (c *Committer) announce(now time.Time) {
	c.nextAnnouncementAt = now.Add(announceInterval)
	if c.replica != nil {
		c.nextAnnouncementAt = now.Add(memberAnnounceInterval)
	}
	a := c.announcement()
	for _, name := range c.transporter.PeerNames() {
		c.transporter.SendAnnouncement(name, a)
	}
	if c.replica == nil {
		c.formGroup(now)
	}
}

func (c *Committer) announcement() transporter.Announcement {
	a := transporter.Announcement{ID: c.store.ID(), Name: c.cfg.Name, Address: c.cfg.Peers[c.cfg.Name],
		Region: c.cfg.Region, Peers: c.peerNames(), IsMember: c.isMember()}
	if group, ok := c.store.GroupConfig(); ok {
		a.Group = &group
	}
	return a
}

func (c *Committer) peerNames() []string { return slices.Sorted(maps.Keys(c.cfg.Peers)) }

func (c *Committer) isMember() bool {
	return c.replica != nil &&
		slices.ContainsFunc(c.replica.Members(), func(m replicator.Member) bool { return m.ID == c.store.ID() })
}

// handleAnnouncement records an instance of the region, and joins its group if this replica belongs to none.
func (c *Committer) handleAnnouncement(a transporter.Announcement) {
	if a.Region != c.cfg.Region || a.Name == c.cfg.Name {
		return
	}
	c.announcedPeers[a.Name] = announcedPeer{a, time.Now()}
	c.connectPeer(a.Name, a.Address)
	switch {
	case c.replica == nil && c.failure == nil && a.Group != nil:
		c.joinGroup(*a.Group)
	case c.replica != nil && a.Group == nil:
		c.transporter.SendAnnouncement(a.Name, c.announcement())
	}
}

func (c *Committer) joinGroup(group storer.GroupConfig) {
	err := c.store.JoinGroup(group)
	if err == nil {
		err = c.startReplica(group)
	}
	if err != nil {
		c.stop(err)
		return
	}
	c.nextAnnouncementAt = time.Time{}
	c.cfg.Observer.Event("control group joined", "cluster", group.Cluster, "id", c.store.ID())
	c.publishStatus()
}

// formGroup creates the group at the instance with the lowest name, once every peer has recently announced an empty
// folder and the same list of peers.
func (c *Committer) formGroup(now time.Time) {
	names := c.peerNames()
	if c.cfg.OpenGroup != nil || names[0] != c.cfg.Name || c.failure != nil {
		return
	}
	group := storer.GroupConfig{}
	for _, name := range names {
		id := c.store.ID()
		if name != c.cfg.Name {
			p, ok := c.announcedPeers[name]
			if !ok || now.Sub(p.receivedAt) > announcementTTL || p.Group != nil || !slices.Equal(p.Peers, names) {
				return
			}
			id = p.ID
		}
		group.Members = append(group.Members, replicator.Member{ID: id, Name: name, Address: c.cfg.Peers[name], Voter: true})
	}
	group.Cluster = crand.Text()
	c.joinGroup(group)
}

// membershipChanges returns the next membership change that the leader makes automatically. The former ID of an
// instance is replaced in three steps: add the new ID as a learner, remove the former ID once the learner has caught
// up, promote the learner. The removal precedes the promotion, so that the quorum never exceeds the running voters:
// 2 of 2, then 2 of 3.
func (c *Committer) membershipChanges(now time.Time) []replicator.Input {
	if c.replica.Role() != replicator.Leader || now.Before(c.nextMembershipChangeAt) {
		return nil
	}
	c.nextMembershipChangeAt = now.Add(membershipChangeInterval)
	st := c.replica.Status()
	if c.cfg.OpenGroup != nil {
		if ch, ok := reconfigurer.NextChange(c.reconfigurerInput(st, now)); ok {
			return []replicator.Input{ch}
		}
		return nil
	}
	for _, p := range c.announcedPeers {
		if now.Sub(p.receivedAt) > announcementTTL {
			continue
		}
		if ch, ok := c.nextReplacement(st, p.Announcement, now); ok {
			return []replicator.Input{ch}
		}
	}
	return nil
}

// reconfigurerInput returns the leader's view of a self-managed group.
func (c *Committer) reconfigurerInput(st replicator.Status, now time.Time) reconfigurer.Input {
	in := reconfigurer.Input{Now: now, Self: c.store.ID(), Members: st.Members, LastContact: map[string]time.Time{},
		IsCaughtUp: c.replica.IsCaughtUp, MinVoters: c.cfg.OpenGroup.MinVoters}
	for _, p := range st.Peers {
		in.LastContact[p.ID] = p.LastContact
	}
	for _, p := range c.announcedPeers {
		if now.Sub(p.receivedAt) <= announcementTTL && p.Group != nil && p.Group.Cluster == c.cluster {
			in.Announced = append(in.Announced, reconfigurer.Instance{ID: p.ID, Name: p.Name, Address: p.Address})
		}
	}
	return in
}

// ConnectPeer connects to an instance that was discovered rather than configured.
func (c *Committer) ConnectPeer(name, address string) { c.connectPeer(name, address) }

// Bootstrap creates a group with this instance as the only voter, unless it already belongs to a group. It must be
// called at most once and at one instance of a fleet, because each call creates a separate group.
func (c *Committer) Bootstrap() {
	select {
	case c.events <- event{bootstrap: true}:
	case <-c.stopped:
	}
}

func (c *Committer) bootstrapGroup() {
	if c.replica != nil || c.failure != nil || c.cfg.OpenGroup == nil {
		return
	}
	c.joinGroup(storer.GroupConfig{Cluster: crand.Text(), Members: []replicator.Member{
		{ID: c.store.ID(), Name: c.cfg.Name, Address: c.cfg.OpenGroup.Address, Voter: true}}})
}

// nextReplacement returns the next step to replace the former ID of an announced instance, or false if none is due.
func (c *Committer) nextReplacement(st replicator.Status, a transporter.Announcement,
	now time.Time) (replicator.Change, bool) {
	current, former := findMember(st.Members, func(m replicator.Member) bool { return m.ID == a.ID }),
		findMember(st.Members, func(m replicator.Member) bool { return m.Name == a.Name && m.ID != a.ID })
	if former != nil && now.Sub(lastContact(st, former.ID)) < replacementTimeout {
		return replicator.Change{}, false
	}
	group, _ := c.store.GroupConfig()
	isInitialMember := findMember(group.Members, func(m replicator.Member) bool { return m.Name == a.Name }) != nil
	switch {
	case a.Group == nil || a.Group.Cluster != c.cluster:
	case current == nil && former != nil:
		return replicator.Change{Kind: replicator.ChangeAddLearner,
			Member: replicator.Member{ID: a.ID, Name: a.Name, Address: a.Address}}, true
	case current == nil || current.Voter || !c.replica.IsCaughtUp(a.ID):
	case former != nil:
		return replicator.Change{Kind: replicator.ChangeRemove, Member: *former}, true
	case isInitialMember:
		return replicator.Change{Kind: replicator.ChangePromote, Member: *current}, true
	}
	return replicator.Change{}, false
}

func lastContact(st replicator.Status, id string) time.Time {
	for _, p := range st.Peers {
		if p.ID == id {
			return p.LastContact
		}
	}
	return time.Time{}
}

func findMember(members []replicator.Member, match func(replicator.Member) bool) *replicator.Member {
	i := slices.IndexFunc(members, match)
	if i < 0 {
		return nil
	}
	return &members[i]
}

// AddLearner adds an announced instance to the group; it receives the log but does not vote.
func (c *Committer) AddLearner(ctx context.Context, name string) error {
	p, ok := findAnnounced(c.Status().Announced, name)
	if !ok {
		return fmt.Errorf("no instance %q has announced itself within %v under an ID that is not a member yet",
			name, announcementTTL)
	}
	return c.change(ctx, replicator.Change{Kind: replicator.ChangeAddLearner,
		Member: replicator.Member{ID: p.ID, Name: name, Address: p.Address}})
}

// Promote makes a learner a voter; it returns a *ChangeError until the learner has caught up.
func (c *Committer) Promote(ctx context.Context, name string) error {
	return c.changeMember(ctx, replicator.ChangePromote, name, func(m Member) bool { return !m.Voter })
}

// Remove removes a member; it returns a *ChangeError if the remaining reachable voters would not form a quorum.
func (c *Committer) Remove(ctx context.Context, name string) error {
	return c.changeMember(ctx, replicator.ChangeRemove, name, func(Member) bool { return true })
}

func (c *Committer) changeMember(ctx context.Context, kind replicator.ChangeKind, name string,
	match func(Member) bool) error {
	for _, m := range c.Status().Members {
		if m.Name == name && match(m) {
			return c.change(ctx, replicator.Change{Kind: kind, Member: replicator.Member{ID: m.ID}})
		}
	}
	return &ChangeError{Reason: replicator.RefusedUnknownMember}
}

func (c *Committer) change(ctx context.Context, ch replicator.Change) error {
	_, err := c.proposeAndWait(ctx, &pendingProposal{change: &ch})
	return err
}

func findAnnounced(list []AnnouncedInstance, name string) (AnnouncedInstance, bool) {
	i := slices.IndexFunc(list, func(a AnnouncedInstance) bool { return a.Name == name })
	if i < 0 {
		return AnnouncedInstance{}, false
	}
	return list[i], true
}
