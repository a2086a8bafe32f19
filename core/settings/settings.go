// Package settings implements the tree of settings that operators publish.
//
// The tree has three levels: the root ("/"), which applies to all services, a
// service ("/registry"), and a range of keys of a service, named by their common
// prefix ("/registry/rosa-"). Each node may set any of the fields of Values. A
// field that a node does not set is inherited from the parent node, and from
// Defaults if no node sets it. If several ranges match a key, the one with the
// longest prefix applies.
//
// Operators change the tree with edits. Each edit is a JSON merge patch
// (RFC 7396) of one node. An edit is accepted if the patched tree is valid and
// no edit after its base version has changed the same nodes; thus an author
// cannot overwrite a change that the author has not seen. Package fleet applies
// edits in the order of the log, so that all daemons accept the same edits. A
// version is the log offset after an accepted edit, so versions only increase.
//
// # Usage
//
//	tree := settings.New()
//	result := tree.Apply(offset, settings.Edit{ID: id, Node: "/", Patch: patch})
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

var treeSchema = sync.OnceValue(func() *schema.Schema { return schema.MustCompile("settings.schema.json", schemaText) })

// Kinds of service.
const (
	KindDivided = "divided" // each key has exactly one owner
	KindShared  = "shared"  // any healthy target serves any request
)

// historyLength is the maximum number of edits whose results a tree remembers.
const historyLength = 256

// Edit is a proposed change of one node. Base is the version of the tree from
// which its author started.
type Edit struct {
	ID     string          `json:"edit_id"`
	Base   uint64          `json:"base_version"`
	Node   string          `json:"node"`
	Patch  json.RawMessage `json:"patch"`
	Author string          `json:"author,omitempty"`
}

// EditResult is the result of an edit.
type EditResult struct {
	Edit Edit `json:"edit"`
	// Offset is the edit's log offset. If the edit was accepted, it made version
	// Offset+1 of the tree.
	Offset   uint64 `json:"offset"`
	Accepted bool   `json:"accepted"`
	// Reason says why the edit was refused. It is empty if the edit was accepted.
	Reason string `json:"reason,omitempty"`
	// Conflict is the version made by the accepted edit with which this one
	// conflicts, or 0.
	Conflict uint64 `json:"conflict,omitempty"`
}

// Tree holds the settings, which accepted edits change. Its methods may be
// called concurrently, except for Apply, which needs exclusive access.
type Tree struct {
	version uint64
	doc     document
	// touched is the version of the last edit of each node, by path.
	touched map[string]uint64
	// history holds the results of the last historyLength edits, oldest first.
	history []EditResult
	// cache maps a cacheKey to its *Values. An accepted edit replaces it.
	cache *sync.Map
}

// New returns an empty tree at version 0.
func New() *Tree {
	return &Tree{touched: map[string]uint64{}, cache: &sync.Map{}}
}

// Version returns the log offset after the last accepted edit, or 0 if there is
// none.
func (t *Tree) Version() uint64 { return t.version }

// Apply applies the edit at the given log offset if it is valid, and returns the
// result. For the id of an edit that the tree still remembers, Apply returns the
// earlier result and changes nothing.
func (t *Tree) Apply(offset uint64, edit Edit) EditResult {
	if result, ok := t.EditResult(edit.ID); ok {
		return result
	}
	result := t.applyEdit(offset, edit)
	t.history = append(t.history, result)
	if len(t.history) > historyLength {
		t.history = t.history[len(t.history)-historyLength:]
	}
	return result
}

// applyEdit applies edit to the tree, or returns a result with the reason why it
// is refused.
func (t *Tree) applyEdit(offset uint64, edit Edit) EditResult {
	result := EditResult{Edit: edit, Offset: offset}
	if edit.ID == "" {
		result.Reason = "edit_id is empty"
		return result
	}
	if edit.Base > t.version {
		result.Reason = fmt.Sprintf("base_version %d is later than version %d", edit.Base, t.version)
		return result
	}
	doc, err := t.patched(edit.Node, edit.Patch)
	if err != nil {
		result.Reason = err.Error()
		return result
	}
	changed := changedNodes(t, &Tree{doc: doc})
	for _, node := range append(changed, edit.Node) {
		if at := t.touched[node]; at > edit.Base {
			result.Conflict = at
			result.Reason = fmt.Sprintf("node %q was changed at version %d, after base_version %d", node, at, edit.Base)
			return result
		}
	}
	t.doc = doc
	t.version = offset + 1
	for _, node := range append(changed, edit.Node) {
		t.touched[node] = t.version
	}
	t.cache = &sync.Map{}
	result.Accepted = true
	return result
}

// JSON returns the tree as a JSON document.
func (t *Tree) JSON() []byte {
	data, err := json.Marshal(t.doc)
	if err != nil {
		panic(fmt.Sprintf("encode settings tree: %v", err))
	}
	return data
}

// NodeJSON returns the values that node itself sets as a JSON object, and false
// if there is no such node.
func (t *Tree) NodeJSON(node string) (json.RawMessage, bool) {
	values, ok := t.fieldsOf(node)
	if !ok {
		return nil, false
	}
	data, err := json.Marshal(values)
	if err != nil {
		panic(fmt.Sprintf("encode node %q: %v", node, err))
	}
	return data, true
}

// fieldsOf returns the fields that node itself sets, and false if there is no
// such node.
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

// Nodes returns the paths of all nodes, sorted.
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

// Service describes a service of the tree. Kind is KindDivided or KindShared;
// Slots is 0 for a shared service.
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

// Service returns the service with the given name, and false if there is none.
func (t *Tree) Service(name string) (Service, bool) {
	svc, ok := t.doc.Services[name]
	if !ok {
		return Service{}, false
	}
	return Service{Name: name, Kind: svc.Kind, Slots: svc.Slots}, true
}

// EditResult returns the result of the edit with the given id, and false if
// there was no such edit or the tree no longer remembers it. A tree remembers
// the last 256 (historyLength) edits.
func (t *Tree) EditResult(id string) (EditResult, bool) {
	for i := len(t.history) - 1; i >= 0; i-- {
		if t.history[i].Edit.ID == id {
			return t.history[i], true
		}
	}
	return EditResult{}, false
}

// History returns the results of the edits that the tree remembers, oldest first.
func (t *Tree) History() []EditResult {
	return append([]EditResult(nil), t.history...)
}
