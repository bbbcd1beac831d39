package storer

import (
	"encoding/json"
	"fmt"
	"hash/crc32"
	"path/filepath"

	"cactusroute.dev/core/replicator"
)

// Formation is the first membership of a group; every replica of the group starts its log from it.
type GroupConfig struct {
	Cluster string              `json:"cluster" cbor:"1,keyasint"`
	Members []replicator.Member `json:"members" cbor:"2,keyasint"`
}

// manifest is the content of replica.json: who this replica is and which files belong to it.
type manifest struct {
	ID           string                    `json:"id"`
	Name         string                    `json:"name"`
	Group        GroupConfig               `json:"formation"`
	FirstSegment uint64                    `json:"firstSegment"` // 0 until the replica belongs to a group
	LastSegment  uint64                    `json:"lastSegment"`
	FirstFrame   uint64                    `json:"firstFrame"` // sequence number of the first frame of the first segment
	Base         replicator.Position       `json:"base"`       // entries up to here are not used
	Snapshots    []replicator.SnapshotMeta `json:"snapshots"`  // ascending, at most two
}

type checkedManifest struct {
	Checksum uint32          `json:"checksum"`
	Replica  json.RawMessage `json:"replica"`
}

func readManifest(fs FS, folder string) (m manifest, err error) {
	name := filepath.Join(folder, manifestName)
	data, err := fs.ReadFile(name)
	if err != nil {
		return m, err
	}
	var c checkedManifest
	if err := json.Unmarshal(data, &c); err != nil {
		return m, &CorruptError{File: name, Reason: err.Error()}
	}
	if crc32.Checksum(c.Replica, castagnoli) != c.Checksum {
		return m, &CorruptError{File: name, Reason: "checksum does not match"}
	}
	if err := json.Unmarshal(c.Replica, &m); err != nil {
		return m, &CorruptError{File: name, Reason: err.Error()}
	}
	return m, nil
}

func writeManifest(fs FS, folder string, m manifest) error {
	raw, err := json.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode %s: %w", manifestName, err)
	}
	data, err := json.Marshal(checkedManifest{Checksum: crc32.Checksum(raw, castagnoli), Replica: raw})
	if err != nil {
		return fmt.Errorf("encode %s: %w", manifestName, err)
	}
	return replaceFile(fs, filepath.Join(folder, manifestName), data)
}
