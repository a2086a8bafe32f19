// Package operator implements the HTTP interface for the people and programs that
// operate a fleet: its status, the settings, the explanation of ownership, and the
// metrics. It contains the server and a client.
//
// Each daemon serves these paths on its operator address:
//
//	GET  /status                       the fleet as this daemon knows it
//	GET  /explain/SERVICE/KEY          which member owns a key, and why
//	GET  /settings?node=N&effective=B  the settings tree, or a node of it
//	POST /settings                     publishes a settings.Edit
//	GET  /settings/history             the results of past edits
//	GET  /settings/fate/ID             the result of one edit
//	GET  /health                       200 while the daemon runs
//	GET  /metrics                      counters in Prometheus' text format
//
// # Usage
//
//	server := &http.Server{Handler: operator.Handler(member, metricsHandler)}
//
//	client := operator.NewClient(addr)
//	status, err := client.Status(ctx)
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/uptrace/bunrouter"

	"siskinknot/core/settings"
	"siskinknot/io/member"
)

// Limits of POST /settings.
const (
	// maxEditBytes is the maximum size of the request body, in bytes.
	maxEditBytes = 1 << 20
	// publishTimeout limits how long a request waits for the result of its edit.
	publishTimeout = 10 * time.Second
)

// ErrorBody is the body of every response with a status other than 200 and 409.
// The body of a response with status 409 is the result of the refused edit.
type ErrorBody struct {
	Error string `json:"error"`
}

// Handler returns the HTTP handler for operators.
func Handler(m *member.Member, metrics http.Handler) http.Handler {
	router := bunrouter.New()
	router.GET("/status", func(w http.ResponseWriter, req bunrouter.Request) error {
		return reply(w, http.StatusOK, m.Status(req.Context()))
	})
	router.GET("/explain/:service/:key", func(w http.ResponseWriter, req bunrouter.Request) error {
		return explain(w, req, m)
	})
	router.GET("/settings", func(w http.ResponseWriter, req bunrouter.Request) error {
		return getSettings(w, req, m)
	})
	router.POST("/settings", func(w http.ResponseWriter, req bunrouter.Request) error {
		return publish(w, req, m)
	})
	router.GET("/settings/history", func(w http.ResponseWriter, _ bunrouter.Request) error {
		return reply(w, http.StatusOK, m.History())
	})
	router.GET("/settings/fate/:id", func(w http.ResponseWriter, req bunrouter.Request) error {
		result, ok := m.EditResult(req.Param("id"))
		if !ok {
			return replyError(w, http.StatusNotFound, "edit "+req.Param("id")+" is not known")
		}
		return reply(w, http.StatusOK, result)
	})
	router.GET("/health", func(w http.ResponseWriter, _ bunrouter.Request) error {
		return reply(w, http.StatusOK, struct{}{})
	})
	router.GET("/metrics", bunrouter.HTTPHandler(metrics))
	return router
}

func explain(w http.ResponseWriter, req bunrouter.Request, m *member.Member) error {
	key, err := url.PathUnescape(req.Param("key"))
	if err != nil {
		return replyError(w, http.StatusBadRequest, err.Error())
	}
	explanation, err := m.Explain(req.Param("service"), key)
	if err != nil {
		return replyError(w, http.StatusNotFound, err.Error())
	}
	return reply(w, http.StatusOK, explanation)
}

func getSettings(w http.ResponseWriter, req bunrouter.Request, m *member.Member) error {
	query := req.URL.Query()
	view, err := m.Settings(query.Get("node"), query.Get("effective") == "true")
	if err != nil {
		return replyError(w, http.StatusNotFound, err.Error())
	}
	return reply(w, http.StatusOK, view)
}

// publish appends an edit to the log. The status of the response is 200 if the
// edit was accepted, 409 if it was refused, and 202 if its result is not known
// yet.
func publish(w http.ResponseWriter, req bunrouter.Request, m *member.Member) error {
	data, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxEditBytes))
	if err != nil {
		return replyError(w, http.StatusRequestEntityTooLarge, err.Error())
	}
	var edit settings.Edit
	if err := json.Unmarshal(data, &edit); err != nil {
		return replyError(w, http.StatusBadRequest, err.Error())
	}
	if edit.ID == "" {
		return replyError(w, http.StatusBadRequest, "edit_id is empty")
	}
	ctx, cancel := context.WithTimeout(req.Context(), publishTimeout)
	defer cancel()
	result, err := m.Publish(ctx, edit)
	switch {
	case err != nil:
		return replyError(w, http.StatusAccepted, err.Error())
	case !result.Accepted:
		return reply(w, http.StatusConflict, result)
	default:
		return reply(w, http.StatusOK, result)
	}
}

// reply writes a response with v as JSON.
func reply(w http.ResponseWriter, status int, v any) error {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	return json.NewEncoder(w).Encode(v)
}

// replyError writes a response with an ErrorBody.
func replyError(w http.ResponseWriter, status int, text string) error {
	return reply(w, status, ErrorBody{Error: text})
}

// ErrPending means that the result of an edit is not known yet. It may still be
// accepted.
var ErrPending = errors.New("the result of the edit is not known yet")
