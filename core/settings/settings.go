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
	"bytes"
	_ "embed" // for the schema
	"encoding/json"
	"fmt"
	"reflect"
	"sort"
	"strings"
	"sync"
	"time"

	"siskinknot/core/schema"
)

//go:embed schema.json
var schemaText string

var treeSchema = schema.MustCompile("settings.schema.json", schemaText)

// Values are the effective settings of a key, with JSON names as in the tree.
type Values struct {
	DefaultDeadlineMs       int64  `json:"default_deadline_ms"`
	MaxDeadlineMs           int64  `json:"max_deadline_ms"`
	MaxBodyBytes            int64  `json:"max_body_bytes"`
	ProgressTimeoutMs       int64  `json:"progress_timeout_ms"`
	TargetSlots             int    `json:"target_slots"`
	TargetConnections       int    `json:"target_connections"`
	TargetChecksGrants      bool   `json:"target_checks_grants"`
	QueueLength             int    `json:"queue_length"`
	BulkSharePercent        int    `json:"bulk_share_percent"`
	ClassQueues             bool   `json:"class_queues"`
	FairQueueing            bool   `json:"fair_queueing"`
	EarlyRefusal            bool   `json:"early_refusal"`
	RetryAttempts           int    `json:"retry_attempts"`
	RetryBudgetPercent      int    `json:"retry_budget_percent"`
	RememberIDsMs           int64  `json:"remember_ids_ms"`
	BalancePolicy           string `json:"balance_policy"`
	BalanceIntervalMs       int64  `json:"balance_interval_ms"`
	BalanceThresholdPercent int    `json:"balance_threshold_percent"`
	BalanceMaxMoves         int    `json:"balance_max_moves"`
	HotKeyPercent           int    `json:"hot_key_percent"`
	SharedChoice            string `json:"shared_choice"`
}

// Defaults are the values of a tree that sets nothing.
var Defaults = Values{
	DefaultDeadlineMs:       2_000,
	MaxDeadlineMs:           600_000,
	MaxBodyBytes:            1 << 30,
	ProgressTimeoutMs:       5_000,
	TargetSlots:             12,
	TargetConnections:       110,
	TargetChecksGrants:      false,
	QueueLength:             256,
	BulkSharePercent:        50,
	ClassQueues:             true,
	FairQueueing:            true,
	EarlyRefusal:            true,
	RetryAttempts:           6,
	RetryBudgetPercent:      20,
	RememberIDsMs:           600_000,
	BalancePolicy:           "moves_and_keys",
	BalanceIntervalMs:       2_000,
	BalanceThresholdPercent: 15,
	BalanceMaxMoves:         8,
	HotKeyPercent:           15,
	SharedChoice:            "two_choices",
}

// DefaultDeadline returns the deadline of a request that names none.
func (v *Values) DefaultDeadline() time.Duration { return millis(v.DefaultDeadlineMs) }

// MaxDeadline returns the longest deadline that a request may name.
func (v *Values) MaxDeadline() time.Duration { return millis(v.MaxDeadlineMs) }

// ProgressTimeout returns how long a connection may go without progress.
func (v *Values) ProgressTimeout() time.Duration { return millis(v.ProgressTimeoutMs) }

// RememberIDs returns how long request ids are remembered.
func (v *Values) RememberIDs() time.Duration { return millis(v.RememberIDsMs) }

// BalanceInterval returns the time between two runs of the planner.
func (v *Values) BalanceInterval() time.Duration { return millis(v.BalanceIntervalMs) }

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// Kinds of service.
const (
	Divided = "divided" // each key has exactly one owner
	Shared  = "shared"  // any healthy target serves any request
)

// document is the JSON form of the tree.
type document struct {
	Values   fields              `json:"values,omitempty"`
	Services map[string]*service `json:"services,omitempty"`
}

type service struct {
	Kind   string               `json:"kind"`
	Slots  int                  `json:"slots,omitempty"`
	Values fields               `json:"values,omitempty"`
	Ranges map[string]*keyRange `json:"ranges,omitempty"`
}

type keyRange struct {
	Values fields `json:"values,omitempty"`
}

// fields are the values that one node sets.
type fields map[string]json.RawMessage

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

type cacheKey struct{ service, prefix string }

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

// changedNodes returns the paths of the nodes that differ between two trees.
func changedNodes(before, after *Tree) []string {
	var changed []string
	seen := map[string]bool{}
	for _, node := range append(before.Nodes(), after.Nodes()...) {
		if seen[node] {
			continue
		}
		seen[node] = true
		old, inOld := before.NodeJSON(node)
		now, inNew := after.NodeJSON(node)
		if inOld != inNew || !bytes.Equal(old, now) {
			changed = append(changed, node)
		}
	}
	return changed
}

// Try reports why an edit of node by patch would be refused at present.
func (t *Tree) Try(node string, patch json.RawMessage) error {
	_, err := t.patched(node, patch)
	return err
}

// patched returns the document after a merge patch of node.
func (t *Tree) patched(node string, patch json.RawMessage) (document, error) {
	path, err := documentPath(node)
	if err != nil {
		return document{}, err
	}
	var change any
	if err := json.Unmarshal(patch, &change); err != nil {
		return document{}, fmt.Errorf("patch of node %q is not JSON: %w", node, err)
	}
	if _, ok := change.(map[string]any); !ok && (change != nil || len(path) < 4) {
		return document{}, fmt.Errorf("patch of node %q is %s, want an object", node, patch)
	}
	for i := len(path) - 1; i >= 0; i-- {
		change = map[string]any{path[i]: change}
	}
	var tree any
	if err := json.Unmarshal(t.JSON(), &tree); err != nil {
		panic(fmt.Sprintf("settings tree does not parse: %v", err))
	}
	data, err := json.Marshal(mergePatch(tree, change))
	if err != nil {
		return document{}, fmt.Errorf("patch of node %q: %w", node, err)
	}
	doc, err := parse(data)
	if err != nil {
		return document{}, err
	}
	return doc, t.checkFixed(doc)
}

// checkFixed refuses changes that the owners of a service's slots could not
// follow.
func (t *Tree) checkFixed(next document) error {
	for name, old := range t.doc.Services {
		svc, ok := next.Services[name]
		switch {
		case !ok:
			return fmt.Errorf("/services/%s: a service cannot be removed", name)
		case svc.Kind != old.Kind:
			return fmt.Errorf("/services/%s/kind: %q: the kind of a service is fixed, want %q", name, svc.Kind, old.Kind)
		case svc.Slots != old.Slots:
			return fmt.Errorf("/services/%s/slots: %d: the number of slots is fixed, want %d", name, svc.Slots, old.Slots)
		}
	}
	return nil
}

// Check returns what is wrong with a whole tree in JSON form, or nil.
func Check(data []byte) error {
	_, err := parse(data)
	return err
}

// parse checks data and returns it as a document.
func parse(data []byte) (document, error) {
	if problems := treeSchema.Check(data); len(problems) > 0 {
		return document{}, schema.Error(problems)
	}
	var doc document
	if err := json.Unmarshal(data, &doc); err != nil {
		return document{}, fmt.Errorf("settings tree: %w", err)
	}
	return doc, checkDeadlines(&Tree{doc: doc})
}

// checkDeadlines refuses nodes whose default deadline exceeds their longest.
func checkDeadlines(t *Tree) error {
	for _, node := range t.Nodes() {
		values, _ := t.effective(node)
		if values.DefaultDeadlineMs > values.MaxDeadlineMs {
			return fmt.Errorf("node %q: default_deadline_ms %d exceeds max_deadline_ms %d",
				node, values.DefaultDeadlineMs, values.MaxDeadlineMs)
		}
	}
	return nil
}

// documentPath returns the member names that lead to node in the document.
func documentPath(node string) ([]string, error) {
	if node == "/" {
		return nil, nil
	}
	service, prefix, _ := strings.Cut(strings.TrimPrefix(node, "/"), "/")
	if !strings.HasPrefix(node, "/") || service == "" || strings.Contains(prefix, "/") {
		return nil, fmt.Errorf("node %q is none of \"/\", \"/service\", \"/service/prefix\"", node)
	}
	if prefix == "" {
		return []string{"services", service}, nil
	}
	return []string{"services", service, "ranges", prefix}, nil
}

// mergePatch applies a merge patch as RFC 7396 defines it.
func mergePatch(doc, patch any) any {
	changes, ok := patch.(map[string]any)
	if !ok {
		return patch
	}
	object, ok := doc.(map[string]any)
	if !ok {
		object = map[string]any{}
	}
	for name, change := range changes {
		if change == nil {
			delete(object, name)
			continue
		}
		object[name] = mergePatch(object[name], change)
	}
	return object
}

// Diff returns the merge patch that turns the JSON document from into to.
func Diff(from, to json.RawMessage) (json.RawMessage, error) {
	var before, after any
	if err := json.Unmarshal(from, &before); err != nil {
		return nil, fmt.Errorf("present settings: %w", err)
	}
	if err := json.Unmarshal(to, &after); err != nil {
		return nil, fmt.Errorf("new settings: %w", err)
	}
	patch, _ := diff(before, after)
	return json.Marshal(patch)
}

// diff returns the merge patch from before to after, and whether they differ.
func diff(before, after any) (any, bool) {
	old, oldOK := before.(map[string]any)
	now, nowOK := after.(map[string]any)
	if !oldOK || !nowOK {
		return after, !reflect.DeepEqual(before, after)
	}
	patch := map[string]any{}
	for name := range old {
		if _, ok := now[name]; !ok {
			patch[name] = nil
		}
	}
	for name, value := range now {
		if change, differs := diff(old[name], value); differs {
			patch[name] = change
		}
	}
	return patch, len(patch) > 0
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

// Effective returns the values in force for key of the named service. The
// result is shared; callers must not change it.
func (t *Tree) Effective(service, key string) *Values {
	prefix := t.longestPrefix(service, key)
	id := cacheKey{service, prefix}
	if values, ok := t.cache.Load(id); ok {
		return values.(*Values)
	}
	values, _ := t.effective(nodePath(service, prefix))
	t.cache.Store(id, &values)
	return &values
}

// longestPrefix returns the longest range of service that key begins with.
func (t *Tree) longestPrefix(service, key string) string {
	svc, ok := t.doc.Services[service]
	if !ok {
		return ""
	}
	longest := ""
	for prefix := range svc.Ranges {
		if len(prefix) > len(longest) && strings.HasPrefix(key, prefix) {
			longest = prefix
		}
	}
	return longest
}

// nodePath returns the path of the node of a service or of a range.
func nodePath(service, prefix string) string {
	if prefix == "" {
		return "/" + service
	}
	return "/" + service + "/" + prefix
}

// Sourced is an effective value with the node that set it.
type Sourced struct {
	Value json.RawMessage `json:"value"`
	// Node is the path of the node that set the value, or "default".
	Node string `json:"node"`
}

// Explain returns the effective value of each field at node and its source.
func (t *Tree) Explain(node string) (map[string]Sourced, error) {
	if _, ok := t.fieldsOf(node); !ok {
		return nil, fmt.Errorf("node %q does not exist", node)
	}
	_, sources := t.effective(node)
	return sources, nil
}

// effective merges the values from the root down to node.
func (t *Tree) effective(node string) (Values, map[string]Sourced) {
	sources := map[string]Sourced{}
	overlay(sources, "default", defaultFields())
	for _, n := range ancestors(node) {
		if values, ok := t.fieldsOf(n); ok {
			overlay(sources, n, values)
		}
	}
	merged := fields{}
	for name, s := range sources {
		merged[name] = s.Value
	}
	data, err := json.Marshal(merged)
	if err != nil {
		panic(fmt.Sprintf("values of node %q do not encode: %v", node, err))
	}
	var values Values
	if err := json.Unmarshal(data, &values); err != nil {
		panic(fmt.Sprintf("values of node %q do not parse: %v", node, err))
	}
	return values, sources
}

// overlay sets in sources what node sets.
func overlay(sources map[string]Sourced, node string, values fields) {
	for name, value := range values {
		sources[name] = Sourced{Value: value, Node: node}
	}
}

// ancestors returns the paths from the root down to node.
func ancestors(node string) []string {
	if node == "/" {
		return []string{"/"}
	}
	service, prefix, _ := strings.Cut(strings.TrimPrefix(node, "/"), "/")
	path := []string{"/", "/" + service}
	if prefix != "" {
		path = append(path, node)
	}
	return path
}

// defaultFields returns Defaults in the form of a node.
func defaultFields() fields {
	data, err := json.Marshal(Defaults)
	if err != nil {
		panic(fmt.Sprintf("default settings do not encode: %v", err))
	}
	var values fields
	if err := json.Unmarshal(data, &values); err != nil {
		panic(fmt.Sprintf("default settings do not parse: %v", err))
	}
	return values
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
