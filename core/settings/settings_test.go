package settings

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const treeJSON = `{
  "values": {"queue_length": 100},
  "services": {
    "registry": {"kind": "divided", "slots": 16, "values": {"queue_length": 50, "retry_attempts": 3},
      "ranges": {"rosa-": {"values": {"retry_attempts": 2}}, "rosa-alba": {"values": {"retry_attempts": 1}}}},
    "archive": {"kind": "shared"}
  }
}`

// newTestTree returns the tree treeJSON at version 11.
func newTestTree(t testing.TB) *Tree {
	t.Helper()
	s := New()
	result := s.Apply(10, Edit{ID: "first", Node: "/", Patch: json.RawMessage(treeJSON)})
	require.True(t, result.Accepted, result.Reason)
	return s
}

func TestInheritance(t *testing.T) {
	s := newTestTree(t)
	tests := []struct {
		service, key    string
		queue, attempts int
	}{
		{"registry", "canina", 50, 3},
		{"registry", "rosa-gallica", 50, 2},
		{"registry", "rosa-alba-1", 50, 1},
		{"archive", "", 100, Defaults.RetryAttempts},
		{"nonsense", "", 100, Defaults.RetryAttempts},
	}
	for _, tt := range tests {
		values := s.Effective(tt.service, tt.key)
		if values.QueueLength != tt.queue || values.RetryAttempts != tt.attempts {
			t.Errorf("%s/%s: queue %d, attempts %d, want %d, %d", tt.service, tt.key, values.QueueLength, values.RetryAttempts, tt.queue, tt.attempts)
		}
	}
	sources, err := s.Explain("/registry/rosa-")
	require.NoError(t, err)
	require.Equal(t, "/registry", sources["queue_length"].Node)
	require.Equal(t, "/registry/rosa-", sources["retry_attempts"].Node)
	require.Equal(t, "default", sources["target_slots"].Node)
}

func TestEdits(t *testing.T) {
	tests := []struct {
		name, node, patch string
		base              uint64
		want              string // substring of the reason; empty if the edit is accepted
	}{
		{"value", "/registry", `{"values": {"queue_length": 7}}`, 11, ""},
		{"value removed so that it is inherited", "/registry", `{"values": {"queue_length": null}}`, 11, ""},
		{"new range", "/registry/alba", `{"values": {"queue_length": 7}}`, 11, ""},
		{"range removed", "/registry/rosa-", `null`, 11, ""},
		{"value of another service", "/archive", `{"values": {"queue_length": 7}}`, 11, ""},
		{"outdated base version", "/registry", `{"values": {"queue_length": 7}}`, 10, "was changed at version 11"},
		{"whole tree with an outdated base version", "/", `{"services": {"archive": {"values": {"queue_length": 7}}}}`, 10, "was changed at version 11"},
		{"base version after the current version", "/registry", `{"values": {}}`, 99, "is later than version 11"},
		{"unknown field", "/registry", `{"values": {"nonsense": 1}}`, 11, "additional properties 'nonsense' not allowed"},
		{"wrong type", "/registry", `{"values": {"queue_length": "7"}}`, 11, `/services/registry/values/queue_length: "7": got string, want integer`},
		{"value below the minimum", "/", `{"values": {"target_slots": 0}}`, 11, "/values/target_slots: 0: minimum: got 0, want 1"},
		{"limit that all servers would exceed", "/", `{"values": {"slow_server_percent": 50}}`, 11, "/values/slow_server_percent: 50: minimum: got 50, want 150"},
		{"value that is not in the enumeration", "/", `{"values": {"balance_policy": "best"}}`, 11, "/values/balance_policy"},
		{"kind changed", "/registry", `{"kind": "shared", "slots": null}`, 11, "the kind of a service is fixed"},
		{"number of slots changed", "/registry", `{"slots": 32}`, 11, "the number of slots is fixed, want 16"},
		{"service removed", "/", `{"services": {"registry": null}}`, 11, "cannot be removed"},
		{"divided service without slots", "/", `{"services": {"new": {"kind": "divided"}}}`, 11, "missing property 'slots'"},
		{"path that names no node", "registry", `{}`, 11, "is none of"},
		{"patch that is not an object", "/registry", `7`, 11, "want an object"},
		{"patch that is not JSON", "/registry", `{`, 11, "not JSON"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newTestTree(t)
			before := s.JSON()
			result := s.Apply(20, Edit{ID: "edit", Base: tt.base, Node: tt.node, Patch: json.RawMessage(tt.patch)})
			require.Equal(t, tt.want == "", result.Accepted, result.Reason)
			if tt.want == "" {
				require.Equal(t, uint64(21), s.Version())
				return
			}
			require.Contains(t, result.Reason, tt.want)
			require.Equal(t, string(before), string(s.JSON()))
			again := s.Apply(21, Edit{ID: "edit", Base: 11, Node: "/archive", Patch: json.RawMessage(`{}`)})
			require.Equal(t, result, again, "the result of an edit id must not change")
		})
	}
}

// TestNothingReverts applies random edits and checks that versions only increase,
// that an accepted value stays until a later accepted edit of its node, and that
// both also hold for a tree that is restored from a snapshot.
func TestNothingReverts(t *testing.T) {
	nodes := []string{"/", "/registry", "/registry/rosa-", "/archive"}
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		if !s.Apply(10, Edit{ID: "first", Node: "/", Patch: json.RawMessage(treeJSON)}).Accepted {
			t.Fatal("the first edit was refused")
		}
		accepted := map[string]int{}
		for i := range rapid.IntRange(1, 30).Draw(t, "edits") {
			node := rapid.SampledFrom(nodes).Draw(t, "node")
			value := rapid.IntRange(-2, 500).Draw(t, "value")
			base := s.Version() - uint64(rapid.IntRange(0, 4).Draw(t, "behind"))
			if rapid.Bool().Draw(t, "copy") {
				restored, err := FromSnapshot(s.Snapshot())
				if err != nil {
					t.Fatal(err)
				}
				s = restored
			}
			before := s.Version()
			patch := fmt.Sprintf(`{"values": {"queue_length": %d}}`, value)
			result := s.Apply(uint64(20+i), Edit{ID: fmt.Sprint(i), Base: base, Node: node, Patch: json.RawMessage(patch)})
			if s.Version() < before {
				t.Fatalf("version %d follows %d", s.Version(), before)
			}
			if result.Accepted {
				accepted[node] = value
			}
			for node, value := range accepted {
				data, _ := s.NodeJSON(node)
				if !strings.Contains(string(data), fmt.Sprintf(`"queue_length":%d`, value)) {
					t.Fatalf("node %s is %s, want queue_length %d", node, data, value)
				}
			}
		}
	})
}

func TestDiff(t *testing.T) {
	to := `{"values": {"queue_length": 9}, "services": {"registry": {"kind": "divided", "slots": 16}, "archive": {"kind": "shared"}}}`
	s := newTestTree(t)
	patch, err := Diff(s.JSON(), json.RawMessage(to))
	require.NoError(t, err)
	result := s.Apply(20, Edit{ID: "whole", Base: 11, Node: "/", Patch: patch})
	require.True(t, result.Accepted, result.Reason)
	require.JSONEq(t, to, string(s.JSON()))
}

func FuzzEdit(f *testing.F) {
	f.Add("/registry", `{"values": {"queue_length": 7}}`)
	f.Add("/", `{"services": {"x": {"kind": "divided", "slots": 8, "ranges": {"a": null}}}}`)
	f.Add("/registry/\x00", `null`)
	f.Fuzz(func(t *testing.T, node, patch string) {
		s := newTestTree(t)
		s.Apply(20, Edit{ID: "fuzz", Base: 11, Node: node, Patch: json.RawMessage(patch)})
		// Whether the edit was accepted or not, the tree must be valid, and it
		// must be possible to restore it from a snapshot.
		if err := Check(s.JSON()); err != nil {
			t.Fatal(err)
		}
		if _, err := FromSnapshot(s.Snapshot()); err != nil {
			t.Fatal(err)
		}
	})
}
