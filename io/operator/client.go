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

// clientTimeout bounds a call of a Client.
const clientTimeout = publishTimeout + 2*time.Second

// Client calls the operators' interface of a daemon.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the daemon whose operator address is addr.
func NewClient(addr netip.AddrPort) *Client {
	return &Client{base: "http://" + addr.String(), http: &http.Client{Timeout: clientTimeout}}
}

// RefusedError is an answer with a status that means failure.
type RefusedError struct {
	Status int
	Text   string
}

// Error implements error.
func (e *RefusedError) Error() string { return e.Text }

// Status returns the fleet as the daemon sees it.
func (c *Client) Status(ctx context.Context) (member.FleetStatus, error) {
	var st member.FleetStatus
	_, err := c.call(ctx, http.MethodGet, "/status", nil, &st)
	return st, err
}

// Explain says who owns key of service and why.
func (c *Client) Explain(ctx context.Context, service, key string) (member.Explanation, error) {
	var ex member.Explanation
	_, err := c.call(ctx, http.MethodGet, "/explain/"+url.PathEscape(service)+"/"+url.PathEscape(key), nil, &ex)
	return ex, err
}

// Settings returns the tree, or a node of it.
func (c *Client) Settings(ctx context.Context, node string, effective bool) (member.SettingsView, error) {
	query := url.Values{"node": {node}}
	if effective {
		query.Set("effective", "true")
	}
	var view member.SettingsView
	_, err := c.call(ctx, http.MethodGet, "/settings?"+query.Encode(), nil, &view)
	return view, err
}

// History returns the fates of past edits, oldest first.
func (c *Client) History(ctx context.Context) ([]settings.Fate, error) {
	var fates []settings.Fate
	_, err := c.call(ctx, http.MethodGet, "/settings/history", nil, &fates)
	return fates, err
}

// Publish appends an edit and returns its fate, accepted or not. The error is
// ErrPending if the fate is not known yet.
func (c *Client) Publish(ctx context.Context, edit settings.Edit) (settings.Fate, error) {
	body, err := json.Marshal(edit)
	if err != nil {
		return settings.Fate{}, eris.Wrap(err, "encode edit")
	}
	var fate settings.Fate
	status, err := c.call(ctx, http.MethodPost, "/settings", body, &fate)
	if err == nil && status == http.StatusAccepted {
		return settings.Fate{}, ErrPending
	}
	return fate, err
}

// call makes a request and decodes the answer into out.
func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) (int, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, eris.Wrap(err, "make request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, eris.Wrap(err, "read answer")
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusConflict:
		return resp.StatusCode, eris.Wrapf(json.Unmarshal(data, out), "decode answer to %s", path)
	case http.StatusAccepted:
		return resp.StatusCode, nil
	default:
		var failure Failure
		if err := json.Unmarshal(data, &failure); err != nil {
			failure.Error = string(data)
		}
		return resp.StatusCode, &RefusedError{Status: resp.StatusCode, Text: failure.Error}
	}
}
