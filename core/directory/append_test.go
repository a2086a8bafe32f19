package directory

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// appendModel is a store that applies an update once, at its base, and loses or delays answers.
type appendModel struct {
	applied bool
	// late counts the attempts that the store may still apply.
	late int
}

// attempt makes an attempt with a random fate.
func (m *appendModel) attempt(t *rapid.T) AppendResult {
	switch rapid.SampledFrom([]string{"answered", "answer lost", "done later", "lost", "rejected"}).Draw(t, "fate") {
	case "answered":
		if m.applied {
			return Conflicted{End: 1}
		}
		m.applied = true
		return Applied{End: 1}
	case "answer lost":
		m.applied = true
	case "done later":
		m.late++
	case "lost":
	case "rejected":
		return NotApplied{Cause: errors.New("rejected")}
	}
	return Undetermined{Cause: errors.New("no answer")}
}

// checkCombine makes random attempts of one update, and fails if it counts as not applied
// although the store has applied it or does so later.
func checkCombine(t *rapid.T, combine func(former, next AppendResult) AppendResult) {
	m := &appendModel{}
	result := m.attempt(t)
	for range rapid.IntRange(0, 4).Draw(t, "attempts") {
		if _, done := result.(Applied); done {
			break
		}
		result = combine(result, m.attempt(t))
	}
	switch result.(type) {
	case Applied, Conflicted:
		require.True(t, m.applied)
	case NotApplied:
		require.False(t, m.applied || m.late > 0, "an update that counts as not applied is applied")
	case Undetermined:
	}
}

// TestAppendResultIsForgotten guards against an update that counts as not applied since its last attempt failed, while the store applies an earlier one.
func TestAppendResultIsForgotten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkCombine(t, Combine) })
}
