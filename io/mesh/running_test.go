package mesh

import (
	"context"
	"net/http"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"siskinknot/core/outcome"
	"siskinknot/core/quarantine"
	"siskinknot/core/request"
)

// TestOutcomeOfRequestsAtCrash checks how requests end whose target's process ends while it
// has them, and which of them are suspects afterwards.
func TestOutcomeOfRequestsAtCrash(t *testing.T) {
	for _, row := range []struct {
		name    string
		res     outcome.Result
		want    outcome.Result
		suspect bool
	}{
		{"cut off", outcome.Unknown{Reason: outcome.ConnectionCut}, outcome.Unknown{Reason: outcome.TargetCrashed}, true},
		{"answered just before", outcome.Answered{Status: http.StatusOK}, outcome.Answered{Status: http.StatusOK}, false},
		{"refused just before", outcome.NotRun{Reason: outcome.Shed}, outcome.NotRun{Reason: outcome.Shed}, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			m := newTestMesh()
			m.log = hclog.NewNullLogger()
			m.target.Instance = "i-1"
			r := &run{head: &request.Head{ID: "r1"}, fingerprint: quarantine.Fingerprint{Head: 1}, process: m.target.process()}
			m.running[r] = struct{}{}
			m.markTargetDown(m.target.process())
			require.Equal(t, row.want, m.endRun(context.Background(), r, row.res))
			require.Equal(t, row.suspect, m.suspects.Rejected(r.sentAt) == 1)
		})
	}
}

// TestServerThatKeepsItsIDCrashesAgain lets a trial crash a target whose next process has the
// same instance as the one before.
func TestServerThatKeepsItsIDCrashesAgain(t *testing.T) {
	m := newTestMesh()
	m.log = hclog.NewNullLogger()
	f := quarantine.Fingerprint{Head: 1}
	for born := range int64(2) {
		m.target.TargetState, m.target.down = TargetState{Instance: "i-1", Born: born}, false
		r := &run{head: &request.Head{ID: "r1"}, fingerprint: f, process: m.target.process(), onTrial: born > 0}
		m.running[r] = struct{}{}
		m.markTargetDown(m.target.process())
	}
	require.Len(t, m.suspects.Suspects()[0].Crashes, 2)
}
