// Package settings holds the tree of settings that operators publish.
//
// The tree has three levels: the firm ("/"), a service ("/registry") and a
// range of keys of a service, named by their common prefix
// ("/registry/rosa-"). Each node may set any of the fields of Values; a field
// that a node leaves out is inherited from the node above, and in the end from
// Defaults. Where several ranges match a key, the longest prefix decides.
//
// Operators change the tree with edits: each edit is a JSON merge patch
// (RFC 7396) of one node. An edit is accepted if the patched tree is valid and
// if no edit that its author had not seen touched the same node. Package fleet
// applies edits in the order of the log, so that all daemons accept the same
// ones; versions are log offsets and only grow.
//
// # Usage
//
//	tree := settings.New()
//	fate := tree.Apply(offset, settings.Edit{ID: id, Node: "/", Patch: patch})
//	values := tree.Effective("registry", "rosa-alba")
//	limit := values.TargetSlots
package settings

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"sync"

	"siskinknot/core/schema"
)

//go:embed schema.json
var schemaText string

var treeSchema = schema.MustCompile("settings.schema.json", schemaText)

// Kinds of service.
const (
	Divided = "divided" // each key has exactly one owner
	Shared  = "shared"  // any healthy target serves any request
)

// historyLength is the number of edits whose fate a tree remembers.
const historyLength = 256

// Edit is a proposed change of one node.
type Edit struct {
	ID     string          `json:"edit_id"`
	Base   uint64          `json:"base_version"`
	Node   string          `json:"node"`
	Patch  json.RawMessage `json:"patch"`
	Author string          `json:"author,omitempty"`
}

// Fate is what became of an edit.
type Fate struct {
	Edit Edit `json:"edit"`
	// Offset is the edit's offset; if it was accepted, the tree's version since
	// is Offset+1.
	Offset   uint64 `json:"offset"`
	Accepted bool   `json:"accepted"`
	// Reason says why the edit was refused.
	Reason string `json:"reason,omitempty"`
	// Conflict is the version of the edit that was in the way, if any.
	Conflict uint64 `json:"conflict,omitempty"`
}

// Tree is a version of the settings. Its methods may be called concurrently,
// but for Apply.
type Tree struct {
	version uint64
	doc     document
	touched map[string]uint64
	history []Fate
	// cache maps a cacheKey to its *Values; it is replaced with the tree.
	cache *sync.Map
}

// New returns the empty tree, version 0.
func New() *Tree {
	return &Tree{touched: map[string]uint64{}, cache: &sync.Map{}}
}

// Version returns the offset after the last accepted edit, or 0.
func (t *Tree) Version() uint64 { return t.version }

// Apply decides the fate of the edit that stands at offset, and carries it out
// if it is accepted. An edit id that was seen before keeps its first fate.
func (t *Tree) Apply(offset uint64, edit Edit) Fate {
	if fate, ok := t.Fate(edit.ID); ok {
		return fate
	}
	fate := t.decide(offset, edit)
	t.history = append(t.history, fate)
	if len(t.history) > historyLength {
		t.history = t.history[len(t.history)-historyLength:]
	}
	return fate
}

// decide applies edit to the tree or says why not.
func (t *Tree) decide(offset uint64, edit Edit) Fate {
	fate := Fate{Edit: edit, Offset: offset}
	if edit.ID == "" {
		fate.Reason = "edit_id is empty"
		return fate
	}
	if edit.Base > t.version {
		fate.Reason = fmt.Sprintf("base_version %d is later than version %d", edit.Base, t.version)
		return fate
	}
	doc, err := t.patched(edit.Node, edit.Patch)
	if err != nil {
		fate.Reason = err.Error()
		return fate
	}
	changed := changedNodes(t, &Tree{doc: doc})
	for _, node := range append(changed, edit.Node) {
		if at := t.touched[node]; at > edit.Base {
			fate.Conflict = at
			fate.Reason = fmt.Sprintf("node %q was changed at version %d, after base_version %d", node, at, edit.Base)
			return fate
		}
	}
	t.doc = doc
	t.version = offset + 1
	for _, node := range append(changed, edit.Node) {
		t.touched[node] = t.version
	}
	t.cache = &sync.Map{}
	fate.Accepted = true
	return fate
}

// JSON returns the tree as a JSON document.
func (t *Tree) JSON() []byte {
	data, err := json.Marshal(t.doc)
	if err != nil {
		panic(fmt.Sprintf("settings tree does not encode: %v", err))
	}
	return data
}

// NodeJSON returns the values that node itself sets; false if there is no such
// node.
func (t *Tree) NodeJSON(node string) (json.RawMessage, bool) {
	values, ok := t.fieldsOf(node)
	if !ok {
		return nil, false
	}
	data, err := json.Marshal(values)
	if err != nil {
		panic(fmt.Sprintf("node %q does not encode: %v", node, err))
	}
	return data, true
}

// fieldsOf returns what node sets itself.
func (t *Tree) fieldsOf(node string) (fields, bool) {
	if node == "/" {
		return t.doc.Values, true
	}
	name, prefix, _ := strings.Cut(strings.TrimPrefix(node, "/"), "/")
	svc, ok := t.doc.Services[name]
	if !ok {
		return nil, false
	}
	if prefix == "" {
		return svc.Values, true
	}
	if r, ok := svc.Ranges[prefix]; ok {
		return r.Values, true
	}
	return nil, false
}

// Nodes returns the paths of all nodes, in order.
func (t *Tree) Nodes() []string {
	nodes := []string{"/"}
	for name, svc := range t.doc.Services {
		nodes = append(nodes, "/"+name)
		for prefix := range svc.Ranges {
			nodes = append(nodes, "/"+name+"/"+prefix)
		}
	}
	sort.Strings(nodes)
	return nodes
}

// Service describes a service of the tree.
type Service struct {
	Name  string
	Kind  string
	Slots int
}

// Services returns the services of the tree, ordered by name.
func (t *Tree) Services() []Service {
	list := make([]Service, 0, len(t.doc.Services))
	for name, svc := range t.doc.Services {
		list = append(list, Service{Name: name, Kind: svc.Kind, Slots: svc.Slots})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// Service returns the service called name.
func (t *Tree) Service(name string) (Service, bool) {
	svc, ok := t.doc.Services[name]
	if !ok {
		return Service{}, false
	}
	return Service{Name: name, Kind: svc.Kind, Slots: svc.Slots}, true
}

// Fate returns what became of the edit with the given id, if the tree still
// remembers it.
func (t *Tree) Fate(id string) (Fate, bool) {
	for i := len(t.history) - 1; i >= 0; i-- {
		if t.history[i].Edit.ID == id {
			return t.history[i], true
		}
	}
	return Fate{}, false
}

// History returns the remembered edits, oldest first.
func (t *Tree) History() []Fate {
	return append([]Fate(nil), t.history...)
}
