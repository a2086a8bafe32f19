package settings

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const tree = `{
  "values": {"queue_length": 100},
  "services": {
    "registry": {"kind": "divided", "slots": 16, "values": {"queue_length": 50, "retry_attempts": 3},
      "ranges": {"rosa-": {"values": {"retry_attempts": 2}}, "rosa-alba": {"values": {"retry_attempts": 1}}}},
    "archive": {"kind": "shared"}
  }
}`

func loaded(t testing.TB) *Tree {
	t.Helper()
	s := New()
	fate := s.Apply(10, Edit{ID: "first", Node: "/", Patch: json.RawMessage(tree)})
	require.True(t, fate.Accepted, fate.Reason)
	return s
}

func TestInheritance(t *testing.T) {
	s := loaded(t)
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
		v := s.Effective(tt.service, tt.key)
		if v.QueueLength != tt.queue || v.RetryAttempts != tt.attempts {
			t.Errorf("%s/%s: queue %d, attempts %d, want %d, %d", tt.service, tt.key, v.QueueLength, v.RetryAttempts, tt.queue, tt.attempts)
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
		want              string // part of the reason; empty if accepted
	}{
		{"a value", "/registry", `{"values": {"queue_length": 7}}`, 11, ""},
		{"back to what is inherited", "/registry", `{"values": {"queue_length": null}}`, 11, ""},
		{"a new range", "/registry/alba", `{"values": {"queue_length": 7}}`, 11, ""},
		{"a range removed", "/registry/rosa-", `null`, 11, ""},
		{"another node than a later edit's", "/archive", `{"values": {"queue_length": 7}}`, 11, ""},
		{"an old base", "/registry", `{"values": {"queue_length": 7}}`, 10, "was changed at version 11"},
		{"the whole tree on an old base", "/", `{"services": {"archive": {"values": {"queue_length": 7}}}}`, 10, "was changed at version 11"},
		{"a base to come", "/registry", `{"values": {}}`, 99, "is later than version 11"},
		{"an unknown value", "/registry", `{"values": {"nonsense": 1}}`, 11, "additional properties 'nonsense' not allowed"},
		{"a wrong type", "/registry", `{"values": {"queue_length": "7"}}`, 11, `/services/registry/values/queue_length: "7": got string, want integer`},
		{"out of range", "/", `{"values": {"target_slots": 0}}`, 11, "/values/target_slots: 0: minimum: got 0, want 1"},
		{"a limit that all servers exceed", "/", `{"values": {"slow_server_percent": 50}}`, 11, "/values/slow_server_percent: 50: minimum: got 50, want 150"},
		{"no choice", "/", `{"values": {"balance_policy": "best"}}`, 11, "/values/balance_policy"},
		{"another kind", "/registry", `{"kind": "shared", "slots": null}`, 11, "the kind of a service is fixed"},
		{"other slots", "/registry", `{"slots": 32}`, 11, "the number of slots is fixed, want 16"},
		{"a service removed", "/", `{"services": {"registry": null}}`, 11, "cannot be removed"},
		{"a divided service without slots", "/", `{"services": {"new": {"kind": "divided"}}}`, 11, "missing property 'slots'"},
		{"no node", "registry", `{}`, 11, "is none of"},
		{"no object", "/registry", `7`, 11, "want an object"},
		{"no JSON", "/registry", `{`, 11, "not JSON"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := loaded(t)
			before := s.JSON()
			fate := s.Apply(20, Edit{ID: "edit", Base: tt.base, Node: tt.node, Patch: json.RawMessage(tt.patch)})
			require.Equal(t, tt.want == "", fate.Accepted, fate.Reason)
			if tt.want == "" {
				require.Equal(t, uint64(21), s.Version())
				return
			}
			require.Contains(t, fate.Reason, tt.want)
			require.Equal(t, string(before), string(s.JSON()))
			again := s.Apply(21, Edit{ID: "edit", Base: 11, Node: "/archive", Patch: json.RawMessage(`{}`)})
			require.Equal(t, fate, again, "an edit id has one fate")
		})
	}
}

// TestNothingReverts applies random edits and checks that versions only grow,
// that an accepted value stays until a later accepted edit of its node, and that
// a copy made from an image goes on alike.
func TestNothingReverts(t *testing.T) {
	nodes := []string{"/", "/registry", "/registry/rosa-", "/archive"}
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		if !s.Apply(10, Edit{ID: "first", Node: "/", Patch: json.RawMessage(tree)}).Accepted {
			t.Fatal("the first tree was refused")
		}
		last := map[string]int{}
		for i := range rapid.IntRange(1, 30).Draw(t, "edits") {
			node := rapid.SampledFrom(nodes).Draw(t, "node")
			value := rapid.IntRange(-2, 500).Draw(t, "value")
			base := s.Version() - uint64(rapid.IntRange(0, 4).Draw(t, "behind"))
			if rapid.Bool().Draw(t, "copy") {
				copied, err := FromImage(s.Image())
				if err != nil {
					t.Fatal(err)
				}
				s = copied
			}
			before := s.Version()
			patch := fmt.Sprintf(`{"values": {"queue_length": %d}}`, value)
			fate := s.Apply(uint64(20+i), Edit{ID: fmt.Sprint(i), Base: base, Node: node, Patch: json.RawMessage(patch)})
			if s.Version() < before {
				t.Fatalf("version %d follows %d", s.Version(), before)
			}
			if fate.Accepted {
				last[node] = value
			}
			for node, value := range last {
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
	s := loaded(t)
	patch, err := Diff(s.JSON(), json.RawMessage(to))
	require.NoError(t, err)
	fate := s.Apply(20, Edit{ID: "whole", Base: 11, Node: "/", Patch: patch})
	require.True(t, fate.Accepted, fate.Reason)
	require.JSONEq(t, to, string(s.JSON()))
}

func FuzzEdit(f *testing.F) {
	f.Add("/registry", `{"values": {"queue_length": 7}}`)
	f.Add("/", `{"services": {"x": {"kind": "divided", "slots": 8, "ranges": {"a": null}}}}`)
	f.Add("/registry/\x00", `null`)
	f.Fuzz(func(t *testing.T, node, patch string) {
		s := loaded(t)
		s.Apply(20, Edit{ID: "fuzz", Base: 11, Node: node, Patch: json.RawMessage(patch)})
		// Whatever became of the edit, the tree is valid and can be kept.
		if err := Check(s.JSON()); err != nil {
			t.Fatal(err)
		}
		if _, err := FromImage(s.Image()); err != nil {
			t.Fatal(err)
		}
	})
}
