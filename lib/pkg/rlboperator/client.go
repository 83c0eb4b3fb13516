package rlboperator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbburn"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbhttp"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbnote"
)

// Error is the error type of this package.
type Error = rlberror.Error[Kind]

// Client calls the operator API of the controllers.
type Client struct {
	addresses []string
	http      *http.Client
	scheme    string
}

// NewClient returns a client of the controllers at the given operator addresses.
// Unless stated otherwise, a call tries them in order until one answers.
func NewClient(addresses []string, client *http.Client, scheme string) *Client {
	return &Client{addresses, client, scheme}
}

// Publish publishes a note, under id unless the note has its own. Because of the
// ID it is safe to retry at another controller.
func (c *Client) Publish(ctx context.Context, name, id string, text []byte) (PublishResult, *Rejection, error) {
	var result PublishResult
	rejection, err := c.postNote(ctx, "/operator/note", http.Header{HeaderNoteName: {name}, HeaderNoteID: {id}}, text, &result)
	return result, rejection, err
}

// Validate checks a note without publishing it.
func (c *Client) Validate(ctx context.Context, name string, text []byte) (ValidateResult, *Rejection, error) {
	var result ValidateResult
	rejection, err := c.postNote(ctx, "/operator/note/validate", http.Header{HeaderNoteName: {name}}, text, &result)
	return result, rejection, err
}

// Note returns the release in force.
func (c *Client) Note(ctx context.Context) (rlbnote.State, error) {
	var state rlbnote.State
	return state, c.get(ctx, "/operator/note", &state)
}

// History returns the last n accepted notes, newest first.
func (c *Client) History(ctx context.Context, n int) ([]HistoryEntry, error) {
	var entries []HistoryEntry
	return entries, c.get(ctx, "/operator/note/history?n="+strconv.Itoa(n), &entries)
}

// Status returns the status as one controller sees it.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	return status, c.get(ctx, "/operator/status", &status)
}

// Snapshot returns the snapshot of one controller.
func (c *Client) Snapshot(ctx context.Context) (Snapshot, error) {
	var snapshot Snapshot
	return snapshot, c.get(ctx, "/operator/snapshot", &snapshot)
}

// Explain returns the events of all reachable controllers that match word.
func (c *Client) Explain(ctx context.Context, word string) ([]Event, error) {
	return getAll[Event](ctx, c, "/operator/explain?about="+url.QueryEscape(word))
}

// Burn returns the request counts of each model, summed over all reachable
// controllers.
func (c *Client) Burn(ctx context.Context) ([]rlbburn.Report, error) {
	reports, err := getAll[rlbburn.Report](ctx, c, "/operator/burn")
	return rlbburn.Sum(reports), err
}

// getAll joins the responses of all reachable controllers. It fails only if none
// responds.
func getAll[T any](ctx context.Context, c *Client, path string) ([]T, error) {
	all := []T{}
	var lastErr error
	answered := false
	for _, address := range c.addresses {
		var part []T
		if lastErr = c.getFrom(ctx, address, path, &part); lastErr == nil {
			answered = true
			all = append(all, part...)
		}
	}
	if !answered {
		return nil, rlberror.New("get "+path, KindUnavailable, lastErr)
	}
	return all, nil
}

func (c *Client) get(ctx context.Context, path string, out any) error {
	var lastErr error
	for _, address := range c.addresses {
		if lastErr = c.getFrom(ctx, address, path, out); lastErr == nil {
			return nil
		}
	}
	return rlberror.New("get "+path, KindUnavailable, lastErr)
}

func (c *Client) getFrom(ctx context.Context, address, path string, out any) error {
	_, err := rlbhttp.Call(ctx, c.http, http.MethodGet, c.scheme+"://"+address+path, nil, out)
	return err
}

// postNote posts the text of a note to the controllers in order until one accepts
// or rejects it.
func (c *Client) postNote(ctx context.Context, path string, header http.Header, text []byte, out any) (*Rejection, error) {
	var lastErr error
	kind := KindUnavailable
	for _, address := range c.addresses {
		response, err := rlbhttp.Do(ctx, c.http, http.MethodPost, c.scheme+"://"+address+path, header, text)
		if err == nil {
			return nil, json.Unmarshal(response.Body, out)
		}
		var rejection Rejection
		if json.Unmarshal(response.Body, &rejection) == nil && rejection.Kind != "" {
			return &rejection, nil
		}
		if !rlberror.Is(err, rlbhttp.KindNotSent) {
			kind = KindUnknown
		}
		lastErr = err
	}
	return nil, rlberror.New("send note", kind, lastErr)
}
