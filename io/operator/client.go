package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"siskinknot/core/settings"
	"siskinknot/io/member"
)

// requestTimeout limits one request of a Client. It exceeds publishTimeout, so
// that the daemon can respond first.
const requestTimeout = publishTimeout + 2*time.Second

// Client is a client of a daemon's operator interface. Its methods return a
// StatusError if the daemon responds with a status other than 200, 202 and 409.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the daemon whose operator address is addr.
func NewClient(addr netip.AddrPort) *Client {
	return &Client{base: "http://" + addr.String(), http: &http.Client{Timeout: requestTimeout}}
}

// StatusError is a response with a status other than 200, 202 and 409.
type StatusError struct {
	// Status is the HTTP status.
	Status int
	// Message is the error message of the daemon.
	Message string
}

// Error implements error.
func (e *StatusError) Error() string { return e.Message }

// Status returns the status of the fleet as the daemon knows it.
func (c *Client) Status(ctx context.Context) (member.FleetStatus, error) {
	var status member.FleetStatus
	_, err := c.send(ctx, http.MethodGet, "/status", nil, &status)
	return status, err
}

// Explain returns which member owns key of service, and why.
func (c *Client) Explain(ctx context.Context, service, key string) (member.Explanation, error) {
	var explanation member.Explanation
	_, err := c.send(ctx, http.MethodGet, "/explain/"+url.PathEscape(service)+"/"+url.PathEscape(key), nil, &explanation)
	return explanation, err
}

// Settings returns the settings tree, or a node of it if node is not empty. If
// effective is set, the view of a node includes its effective values and their
// sources.
func (c *Client) Settings(ctx context.Context, node string, effective bool) (member.SettingsView, error) {
	query := url.Values{"node": {node}}
	if effective {
		query.Set("effective", "true")
	}
	var view member.SettingsView
	_, err := c.send(ctx, http.MethodGet, "/settings?"+query.Encode(), nil, &view)
	return view, err
}

// History returns the results of past edits, oldest first.
func (c *Client) History(ctx context.Context) ([]settings.EditResult, error) {
	var results []settings.EditResult
	_, err := c.send(ctx, http.MethodGet, "/settings/history", nil, &results)
	return results, err
}

// Publish publishes an edit and returns its result, which says whether the edit was
// accepted. The error is ErrPending if the result is not known yet.
func (c *Client) Publish(ctx context.Context, edit settings.Edit) (settings.EditResult, error) {
	body, err := json.Marshal(edit)
	if err != nil {
		return settings.EditResult{}, eris.Wrap(err, "encode edit")
	}
	var result settings.EditResult
	status, err := c.send(ctx, http.MethodPost, "/settings", body, &result)
	if err == nil && status == http.StatusAccepted {
		return settings.EditResult{}, ErrPending
	}
	return result, err
}

// send sends a request and decodes the response into out. It returns the HTTP
// status. The error is a StatusError if the status is not 200, 202 or 409.
func (c *Client) send(ctx context.Context, method, path string, body []byte, out any) (int, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, eris.Wrap(err, "create request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, eris.Wrap(err, "read response")
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusConflict:
		return resp.StatusCode, eris.Wrapf(json.Unmarshal(data, out), "decode response to %s", path)
	case http.StatusAccepted:
		return resp.StatusCode, nil
	default:
		var errorBody ErrorBody
		if err := json.Unmarshal(data, &errorBody); err != nil {
			errorBody.Error = string(data)
		}
		return resp.StatusCode, &StatusError{Status: resp.StatusCode, Message: errorBody.Error}
	}
}
