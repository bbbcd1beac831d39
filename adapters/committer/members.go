package committer

import (
	"context"
	crand "crypto/rand"
	"fmt"
	"maps"
	"slices"
	"time"

	"cactusroute.dev/adapters/courier"
	"cactusroute.dev/adapters/storer"
	"cactusroute.dev/core/reconfigurer"
	"cactusroute.dev/core/replicator"
)

const (
	// announceInterval is short while a group forms, and longer once the replica belongs to one.
	announceInterval     = 100 * time.Millisecond
	slowAnnounceInterval = time.Second

	// announcedWithin is how old an announcement may be that still counts.
	announcedWithin = 3 * time.Second

	// replaceInterval paces the automatic replacement of a former identity.
	replaceInterval = 200 * time.Millisecond

	// replaceAfter is how long the former identity must be silent: a second process that was started under the
	// name of a working instance must not displace it.
	replaceAfter = 2 * time.Second
)

// announce tells the others who this instance is.
func (c *Committer) announce(now time.Time) {
	c.announceAt = now.Add(announceInterval)
	if c.replica != nil {
		c.announceAt = now.Add(slowAnnounceInterval)
	}
	a := c.announcement()
	for _, name := range c.courier.PeerNames() {
		c.courier.SendAnnouncement(name, a)
	}
	if c.replica == nil {
		c.form(now)
	}
}

func (c *Committer) announcement() courier.Announcement {
	a := courier.Announcement{ID: c.store.ID(), Name: c.cfg.Name, Address: c.cfg.Peers[c.cfg.Name], Region: c.cfg.Region,
		Peers: c.peerNames(), IsMember: c.isMember()}
	if f, ok := c.store.GroupConfig(); ok {
		a.Group = &f
	}
	return a
}

func (c *Committer) peerNames() []string { return slices.Sorted(maps.Keys(c.cfg.Peers)) }

func (c *Committer) isMember() bool {
	return c.replica != nil &&
		slices.ContainsFunc(c.replica.Members(), func(m replicator.Member) bool { return m.ID == c.store.ID() })
}

// announced records another instance, and joins its group if this replica belongs to none.
func (c *Committer) announced(a courier.Announcement) {
	if a.Region != c.cfg.Region || a.Name == c.cfg.Name {
		return
	}
	c.peers[a.Name] = heardPeer{a, time.Now()}
	c.connect(a.Name, a.Address)
	switch {
	case c.replica == nil && c.failed == nil && a.Group != nil:
		c.join(*a.Group)
	case c.replica != nil && a.Group == nil:
		c.courier.SendAnnouncement(a.Name, c.announcement())
	}
}

func (c *Committer) join(f storer.GroupConfig) {
	err := c.store.JoinGroup(f)
	if err == nil {
		err = c.start(f)
	}
	if err != nil {
		c.stop(err)
		return
	}
	c.announceAt = time.Time{}
	c.cfg.Observer.Event("control group joined", "cluster", f.Cluster, "id", c.store.ID())
	c.publish()
}

// form makes the group when every peer has an empty folder and the same list of peers, at the lowest name only.
func (c *Committer) form(now time.Time) {
	names := c.peerNames()
	if c.cfg.OpenGroup != nil || names[0] != c.cfg.Name || c.failed != nil {
		return
	}
	f := storer.GroupConfig{}
	for _, name := range names {
		id := c.store.ID()
		if name != c.cfg.Name {
			p, ok := c.peers[name]
			if !ok || now.Sub(p.at) > announcedWithin || p.Group != nil || !slices.Equal(p.Peers, names) {
				return
			}
			id = p.ID
		}
		f.Members = append(f.Members, replicator.Member{ID: id, Name: name, Address: c.cfg.Peers[name], Voter: true})
	}
	f.Cluster = crand.Text()
	c.join(f)
}

// replacements returns, at the leader, the next change towards replacing a former identity of an instance: add the
// new one as a learner, remove the former one when the learner has caught up, promote the learner. The removal
// goes before the promotion, so that the group never needs more than it has: 2 of 2, then 2 of 3.
func (c *Committer) replacements(now time.Time) []replicator.Input {
	if c.replica.Role() != replicator.Leader || now.Before(c.replaceAt) {
		return nil
	}
	c.replaceAt = now.Add(replaceInterval)
	st := c.replica.Status()
	if c.cfg.OpenGroup != nil {
		if ch, ok := reconfigurer.NextChange(c.recruiting(st, now)); ok {
			return []replicator.Input{ch}
		}
		return nil
	}
	for _, p := range c.peers {
		if now.Sub(p.at) > announcedWithin {
			continue
		}
		if ch, ok := c.replacement(st, p.Announcement, now); ok {
			return []replicator.Input{ch}
		}
	}
	return nil
}

// recruiting returns what the leader of an open group knows of its instances.
func (c *Committer) recruiting(st replicator.Status, now time.Time) reconfigurer.Input {
	in := reconfigurer.Input{Now: now, Self: c.store.ID(), Members: st.Members, LastContact: map[string]time.Time{},
		IsCaughtUp: c.replica.IsCaughtUp, MinVoters: c.cfg.OpenGroup.MinVoters}
	for _, p := range st.Peers {
		in.LastContact[p.ID] = p.LastContact
	}
	for _, p := range c.peers {
		if now.Sub(p.at) <= announcedWithin && p.Group != nil && p.Group.Cluster == c.cluster {
			in.Announced = append(in.Announced, reconfigurer.Instance{ID: p.ID, Name: p.Name, Address: p.Address})
		}
	}
	return in
}

// Meet connects to an instance that was found by other means than the settings.
func (c *Committer) ConnectPeer(name, address string) { c.connect(name, address) }

// Found makes a group of this instance alone, which others join, unless it belongs to one. At most one instance of a
// fleet may be told so, once.
func (c *Committer) Bootstrap() {
	select {
	case c.events <- event{found: true}:
	case <-c.stopped:
	}
}

func (c *Committer) found() {
	if c.replica != nil || c.failed != nil || c.cfg.OpenGroup == nil {
		return
	}
	c.join(storer.GroupConfig{Cluster: crand.Text(), Members: []replicator.Member{
		{ID: c.store.ID(), Name: c.cfg.Name, Address: c.cfg.OpenGroup.Address, Voter: true}}})
}

func (c *Committer) replacement(st replicator.Status, a courier.Announcement, now time.Time) (replicator.Change, bool) {
	own, former := findMember(st.Members, func(m replicator.Member) bool { return m.ID == a.ID }),
		findMember(st.Members, func(m replicator.Member) bool { return m.Name == a.Name && m.ID != a.ID })
	if former != nil && now.Sub(heardAt(st, former.ID)) < replaceAfter {
		return replicator.Change{}, false
	}
	f, _ := c.store.GroupConfig()
	founder := findMember(f.Members, func(m replicator.Member) bool { return m.Name == a.Name }) != nil
	switch {
	case a.Group == nil || a.Group.Cluster != c.cluster:
	case own == nil && former != nil:
		return replicator.Change{Kind: replicator.ChangeAddLearner,
			Member: replicator.Member{ID: a.ID, Name: a.Name, Address: a.Address}}, true
	case own == nil || own.Voter || !c.replica.IsCaughtUp(a.ID):
	case former != nil:
		return replicator.Change{Kind: replicator.ChangeRemove, Member: *former}, true
	case founder:
		return replicator.Change{Kind: replicator.ChangePromote, Member: *own}, true
	}
	return replicator.Change{}, false
}

func heardAt(st replicator.Status, id string) time.Time {
	for _, p := range st.Peers {
		if p.ID == id {
			return p.LastContact
		}
	}
	return time.Time{}
}

func findMember(members []replicator.Member, is func(replicator.Member) bool) *replicator.Member {
	i := slices.IndexFunc(members, is)
	if i < 0 {
		return nil
	}
	return &members[i]
}

// AddLearner adds an instance that has announced itself; it receives the log but does not vote.
func (c *Committer) AddLearner(ctx context.Context, name string) error {
	p, ok := findAnnounced(c.Status().Announced, name)
	if !ok {
		return fmt.Errorf("no instance %q has announced itself with a new data folder", name)
	}
	return c.change(ctx, replicator.Change{Kind: replicator.ChangeAddLearner,
		Member: replicator.Member{ID: p.ID, Name: name, Address: p.Address}})
}

// Promote makes a learner a voter; it is refused with a *ChangeError until the learner has caught up.
func (c *Committer) Promote(ctx context.Context, name string) error {
	return c.changeMember(ctx, replicator.ChangePromote, name, func(m Member) bool { return !m.Voter })
}

// Remove removes a member; it is refused with a *ChangeError if the rest would be no quorum.
func (c *Committer) Remove(ctx context.Context, name string) error {
	return c.changeMember(ctx, replicator.ChangeRemove, name, func(Member) bool { return true })
}

func (c *Committer) changeMember(ctx context.Context, kind replicator.ChangeKind, name string,
	fits func(Member) bool) error {
	for _, m := range c.Status().Members {
		if m.Name == name && fits(m) {
			return c.change(ctx, replicator.Change{Kind: kind, Member: replicator.Member{ID: m.ID}})
		}
	}
	return &ChangeError{Reason: replicator.RefusedUnknownMember}
}

func (c *Committer) change(ctx context.Context, ch replicator.Change) error {
	_, err := c.wait(ctx, &waiter{change: &ch})
	return err
}

func findAnnounced(list []AnnouncedInstance, name string) (AnnouncedInstance, bool) {
	i := slices.IndexFunc(list, func(a AnnouncedInstance) bool { return a.Name == name })
	if i < 0 {
		return AnnouncedInstance{}, false
	}
	return list[i], true
}
