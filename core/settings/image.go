package settings

import (
	"encoding/json"
	"fmt"
)

// Image is the form of a tree in a snapshot.
type Image struct {
	Version uint64            `json:"version"`
	Tree    json.RawMessage   `json:"tree"`
	Touched map[string]uint64 `json:"touched"`
	History []Fate            `json:"history"`
}

// Image returns a copy of the tree.
func (t *Tree) Image() Image {
	touched := make(map[string]uint64, len(t.touched))
	for node, at := range t.touched {
		touched[node] = at
	}
	return Image{Version: t.version, Tree: t.JSON(), Touched: touched, History: t.History()}
}

// FromImage returns the tree that img was made from.
func FromImage(img Image) (*Tree, error) {
	doc, err := parse(img.Tree)
	if err != nil {
		return nil, fmt.Errorf("settings image: %w", err)
	}
	t := New()
	t.version = img.Version
	t.doc = doc
	t.history = img.History
	for node, at := range img.Touched {
		t.touched[node] = at
	}
	return t, nil
}
