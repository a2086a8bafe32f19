package mesh

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskinknot/core/outcome"
	"siskinknot/core/request"
	"siskinknot/core/routing"
	"siskinknot/io/boottime"
	"siskinknot/io/targetconn"
)

// answeringTarget answers each request with a body of the given size.
type answeringTarget struct {
	Target
	bodyBytes int
}

// Send implements Target.
func (a answeringTarget) Send(context.Context, *request.Head, io.Reader, string) (*targetconn.Response, *request.TargetNotice, outcome.Result) {
	body := io.NopCloser(strings.NewReader(strings.Repeat("x", a.bodyBytes)))
	return &targetconn.Response{Status: http.StatusOK, Header: http.Header{}, ContentLength: int64(a.bodyBytes), Body: body}, nil, nil
}

// slowExchange is a request whose caller reads the answer only once read is closed.
type slowExchange struct {
	nullSink
	writing chan struct{}
	read    chan struct{}
}

// Body implements forward.Exchange.
func (*slowExchange) Body() (io.Reader, error) { return strings.NewReader(""), nil }

// Write implements forward.Sink.
func (x *slowExchange) Write([]byte) error {
	select {
	case x.writing <- struct{}{}:
	default:
	}
	<-x.read
	return nil
}

// TestSlowCallerHoldsSlot guards against callers that read their answers slowly and keep the
// slots of a target that has long ended their requests: other requests are rejected while the
// target is idle.
func TestSlowCallerHoldsSlot(t *testing.T) {
	for _, row := range []struct {
		name      string
		bodyBytes int
		// used is the memory that answers take while others are being read.
		used    int64
		running int
	}{
		{"answer is buffered", maxBufferedAnswer, 0, 0},
		{"answer is too large", maxBufferedAnswer + 1, 0, 1},
		{"memory for answers is used up", answerPartBytes + 1, maxAnswerMemory, 1},
	} {
		t.Run(row.name, func(t *testing.T) {
			m := newTestMesh()
			table, err := routing.New(1, nil, []routing.Service{{Name: "s"}}, routing.Limits{})
			require.NoError(t, err)
			m.table, m.loaded, m.target.Instance, m.target.Ready = table, true, "i", true
			m.targetClient = answeringTarget{bodyBytes: row.bodyBytes}
			m.answers.used.Store(row.used)
			now := boottime.Now()
			ex := &slowExchange{writing: make(chan struct{}, 1), read: make(chan struct{})}
			result := make(chan outcome.Result, 1)
			go func() {
				head := &request.Head{Service: "s", Header: http.Header{}, Deadline: now.Add(time.Minute), Objective: now.Add(time.Minute)}
				result <- m.runRequest(context.Background(), head, ex)
			}()
			<-ex.writing
			m.mu.Lock()
			running := len(m.running)
			m.mu.Unlock()
			require.Equal(t, row.running, m.scheduler.Load().Running)
			require.Equal(t, row.running, running)
			close(ex.read)
			require.Equal(t, outcome.Answered{Status: http.StatusOK}, <-result)
			require.Zero(t, m.scheduler.Load().Running)
			m.answers.release(int(row.used))
			require.Zero(t, m.answers.used.Load())
		})
	}
}
