package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"siskinknot/core/schema"
)

// document is the JSON form of a tree.
type document struct {
	Values   fields              `json:"values,omitempty"`
	Services map[string]*service `json:"services,omitempty"`
}

// service is the JSON form of a service and its ranges.
type service struct {
	Kind   string               `json:"kind"`
	Slots  int                  `json:"slots,omitempty"`
	Values fields               `json:"values,omitempty"`
	Ranges map[string]*keyRange `json:"ranges,omitempty"`
}

// keyRange is the JSON form of a range of keys. The common prefix of its keys is
// its name in service.Ranges.
type keyRange struct {
	Values fields `json:"values,omitempty"`
}

// fields are the values that one node sets, by their JSON names.
type fields map[string]json.RawMessage

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
		updated, inNew := after.NodeJSON(node)
		if inOld != inNew || !bytes.Equal(old, updated) {
			changed = append(changed, node)
		}
	}
	return changed
}

// patched returns the document that results from applying a merge patch to node.
// It returns an error if the patch or the result is invalid.
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
		panic(fmt.Sprintf("decode settings tree: %v", err))
	}
	data, err := json.Marshal(mergePatch(tree, change))
	if err != nil {
		return document{}, fmt.Errorf("patch of node %q: %w", node, err)
	}
	doc, err := parse(data)
	if err != nil {
		return document{}, err
	}
	return doc, t.checkImmutable(doc)
}

// checkImmutable returns an error if next removes a service of t or changes its
// kind or number of slots. The daemons that own the slots of a service cannot
// adapt to such a change.
func (t *Tree) checkImmutable(next document) error {
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

// Check returns an error that says what is wrong with a whole tree in JSON form,
// or nil if it is valid.
func Check(data []byte) error {
	_, err := parse(data)
	return err
}

// parse decodes data and returns an error if it is not a valid tree.
func parse(data []byte) (document, error) {
	if problems := treeSchema().Check(data); len(problems) > 0 {
		return document{}, schema.Error(problems)
	}
	var doc document
	if err := json.Unmarshal(data, &doc); err != nil {
		return document{}, fmt.Errorf("settings tree: %w", err)
	}
	return doc, checkDeadlines(&Tree{doc: doc})
}

// checkDeadlines returns an error if the default deadline of a node exceeds its
// maximum deadline.
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

// documentPath returns the names of the nested JSON members that lead to node in
// the document. It returns an error if node is not a valid path of a node.
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

// mergePatch returns doc after a JSON merge patch (RFC 7396). It may change doc.
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

// Diff returns the JSON merge patch whose application to the JSON document from
// yields the JSON document to. It returns an error if one of them is not valid
// JSON.
func Diff(from, to json.RawMessage) (json.RawMessage, error) {
	var before, after any
	if err := json.Unmarshal(from, &before); err != nil {
		return nil, fmt.Errorf("current settings: %w", err)
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
	updated, updatedOK := after.(map[string]any)
	if !oldOK || !updatedOK {
		return after, !reflect.DeepEqual(before, after)
	}
	patch := map[string]any{}
	for name := range old {
		if _, ok := updated[name]; !ok {
			patch[name] = nil
		}
	}
	for name, value := range updated {
		if change, differs := diff(old[name], value); differs {
			patch[name] = change
		}
	}
	return patch, len(patch) > 0
}
