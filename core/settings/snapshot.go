package settings

import (
	"encoding/json"
	"fmt"
)

// Snapshot is the serialized form of a tree, as a snapshot of the fleet's state
// contains it. Touched is the version of the last edit of each node, by path.
type Snapshot struct {
	Version uint64            `json:"version"`
	Tree    json.RawMessage   `json:"tree"`
	Touched map[string]uint64 `json:"touched"`
	History []EditResult      `json:"history"`
}

// Snapshot returns the tree in its serialized form. It is a copy, which later edits
// do not change.
func (t *Tree) Snapshot() Snapshot {
	touched := make(map[string]uint64, len(t.touched))
	for node, at := range t.touched {
		touched[node] = at
	}
	return Snapshot{Version: t.version, Tree: t.JSON(), Touched: touched, History: t.History()}
}

// FromSnapshot restores the tree from snapshot. It returns an error if the document
// in it is not a valid tree.
func FromSnapshot(snapshot Snapshot) (*Tree, error) {
	doc, err := parse(snapshot.Tree)
	if err != nil {
		return nil, fmt.Errorf("settings snapshot: %w", err)
	}
	t := New()
	t.version = snapshot.Version
	t.doc = doc
	t.history = snapshot.History
	for node, at := range snapshot.Touched {
		t.touched[node] = at
	}
	return t, nil
}
