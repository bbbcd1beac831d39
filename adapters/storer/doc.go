// Package storer stores the consensus log, the snapshots and the replica ID of one control instance in its data folder.
// All data is checksummed, and synced before it is acknowledged.
//
// Layout: replica.json (the manifest: ID, group and list of files; replaced atomically), log/N.seg, snapshot/N.snap,
// LOCK. A folder without replica.json must be empty; it gets a new random ID. The state machine may add its own files
// once the folder is open.
package storer
