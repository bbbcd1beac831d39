// Package committer runs one replica of the replicated log on its disk and network connections, and applies the
// committed entries to a state machine.
//
// A group with configured peers bootstraps itself: an instance with an empty data folder announces itself to the peers,
// and the one with the lowest name creates the group once every peer has announced an empty folder and the same list of
// peers. A single folder that is not empty prevents the creation of a second group. A replica whose disk was emptied
// learns the group from the peers, joins under its new ID as a learner and replaces its former ID, one membership
// change at a time. A new group is created only if the disks of all peers were emptied; its cluster ID differs, so it
// accepts no messages of the old group.
package committer
