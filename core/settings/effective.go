package settings

import (
	"encoding/json"
	"fmt"
	"strings"
)

// cacheKey identifies the effective values of a service, or of one of its ranges
// if prefix is not empty.
type cacheKey struct{ service, prefix string }

// Effective returns the effective values for key of the named service. The
// result is shared; callers must not modify it.
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

// longestPrefix returns the longest prefix of key that names a range of service,
// or "" if there is none.
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

// nodePath returns the path of the node of a range, or of the service if prefix
// is empty.
func nodePath(service, prefix string) string {
	if prefix == "" {
		return "/" + service
	}
	return "/" + service + "/" + prefix
}

// SourcedValue is an effective value together with the node that sets it.
type SourcedValue struct {
	Value json.RawMessage `json:"value"`
	// Node is the path of the node that sets the value, or "default".
	Node string `json:"node"`
}

// Explain returns the effective value of each field at node and the node that
// sets it, by the JSON name of the field. It returns an error if node does not
// exist.
func (t *Tree) Explain(node string) (map[string]SourcedValue, error) {
	if _, ok := t.fieldsOf(node); !ok {
		return nil, fmt.Errorf("node %q does not exist", node)
	}
	_, sources := t.effective(node)
	return sources, nil
}

// effective merges the values that the nodes from the root down to node set, and
// returns them with their sources.
func (t *Tree) effective(node string) (Values, map[string]SourcedValue) {
	sources := map[string]SourcedValue{}
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
		panic(fmt.Sprintf("encode values of node %q: %v", node, err))
	}
	var values Values
	if err := json.Unmarshal(data, &values); err != nil {
		panic(fmt.Sprintf("decode values of node %q: %v", node, err))
	}
	return values, sources
}

// overlay replaces the sources of the fields that node sets by its values.
func overlay(sources map[string]SourcedValue, node string, values fields) {
	for name, value := range values {
		sources[name] = SourcedValue{Value: value, Node: node}
	}
}

// ancestors returns the paths of the nodes from the root down to node itself.
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
