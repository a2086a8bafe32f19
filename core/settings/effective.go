package settings

import (
	"encoding/json"
	"fmt"
	"strings"
)

type cacheKey struct{ service, prefix string }

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
