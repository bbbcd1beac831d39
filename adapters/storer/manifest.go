package storer

import (
	"encoding/json"
	"fmt"
	"hash/crc32"
	"path/filepath"

	"cactusroute.dev/core/replicator"
)

// GroupConfig is the cluster ID and the initial members of a group, from which every replica starts its log.
type GroupConfig struct {
	Cluster string              `json:"cluster" cbor:"1,keyasint"`
	Members []replicator.Member `json:"members" cbor:"2,keyasint"`
}

// manifest is the content of replica.json: the replica's ID, its group, and the list of its files.
type manifest struct {
	ID           string                    `json:"id"`
	Name         string                    `json:"name"`
	Group        GroupConfig               `json:"formation"`
	FirstSegment uint64                    `json:"firstSegment"` // 0 until the replica belongs to a group
	LastSegment  uint64                    `json:"lastSegment"`
	FirstFrame   uint64                    `json:"firstFrame"` // sequence number of the first frame of the first segment
	Base         replicator.Position       `json:"base"`       // position before the first entry
	Snapshots    []replicator.SnapshotMeta `json:"snapshots"`  // ascending, at most maxSnapshots
}

type manifestFile struct {
	Checksum uint32          `json:"checksum"`
	Replica  json.RawMessage `json:"replica"`
}

func readManifest(fs FS, folder string) (m manifest, err error) {
	name := filepath.Join(folder, manifestName)
	data, err := fs.ReadFile(name)
	if err != nil {
		return m, err
	}
	var file manifestFile
	if err := json.Unmarshal(data, &file); err != nil {
		return m, &CorruptError{File: name, Reason: err.Error()}
	}
	if crc32.Checksum(file.Replica, castagnoliTable) != file.Checksum {
		return m, &CorruptError{File: name, Reason: "checksum mismatch"}
	}
	if err := json.Unmarshal(file.Replica, &m); err != nil {
		return m, &CorruptError{File: name, Reason: err.Error()}
	}
	return m, nil
}

func writeManifest(fs FS, folder string, m manifest) error {
	raw, err := json.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode %s: %w", manifestName, err)
	}
	data, err := json.Marshal(manifestFile{Checksum: crc32.Checksum(raw, castagnoliTable), Replica: raw})
	if err != nil {
		return fmt.Errorf("encode %s: %w", manifestName, err)
	}
	return replaceFile(fs, filepath.Join(folder, manifestName), data)
}
