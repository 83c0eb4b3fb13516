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

// Error is this package's error.
type Error = rlberror.Error[Kind]

// Client asks the first controller that answers.
type Client struct {
	addresses []string
	http      *http.Client
	scheme    string
}

// NewClient returns a client of the controllers at the given operator
// addresses, tried in turn.
func NewClient(addresses []string, client *http.Client, scheme string) *Client {
	return &Client{addresses, client, scheme}
}

// Publish publishes a note, under id if it has none itself. The id makes it safe
// to try each controller.
func (c *Client) Publish(ctx context.Context, name, id string, text []byte) (PublishResult, *Rejection, error) {
	var accepted PublishResult
	rejection, err := c.send(ctx, "/operator/note", http.Header{HeaderNoteName: {name}, HeaderNoteID: {id}}, text, &accepted)
	return accepted, rejection, err
}

// Validate checks a note without publishing it.
func (c *Client) Validate(ctx context.Context, name string, text []byte) (ValidateResult, *Rejection, error) {
	var checked ValidateResult
	rejection, err := c.send(ctx, "/operator/note/validate", http.Header{HeaderNoteName: {name}}, text, &checked)
	return checked, rejection, err
}

// Note returns the release state in force.
func (c *Client) Note(ctx context.Context) (rlbnote.State, error) {
	var state rlbnote.State
	return state, c.get(ctx, "/operator/note", &state)
}

// History returns the last n accepted notes, newest first.
func (c *Client) History(ctx context.Context, n int) ([]HistoryEntry, error) {
	var past []HistoryEntry
	return past, c.get(ctx, "/operator/note/history?n="+strconv.Itoa(n), &past)
}

// Status returns what a controller knows.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	return status, c.get(ctx, "/operator/status", &status)
}

// Snapshot returns everything that a controller knows.
func (c *Client) Snapshot(ctx context.Context) (Snapshot, error) {
	var snapshot Snapshot
	return snapshot, c.get(ctx, "/operator/snapshot", &snapshot)
}

// Explain returns the events about a word, from every controller that answers.
func (c *Client) Explain(ctx context.Context, word string) ([]Event, error) {
	return gather[Event](ctx, c, "/operator/explain?about="+url.QueryEscape(word))
}

// Burn returns what became of each model's requests, summed over every
// controller that answers.
func (c *Client) Burn(ctx context.Context) ([]rlbburn.Report, error) {
	reports, err := gather[rlbburn.Report](ctx, c, "/operator/burn")
	return rlbburn.Sum(reports), err
}

// gather joins the answers of every controller that answers.
func gather[T any](ctx context.Context, c *Client, path string) ([]T, error) {
	all := []T{}
	var last error
	answered := false
	for _, address := range c.addresses {
		var part []T
		if last = c.getFrom(ctx, address, path, &part); last == nil {
			answered = true
			all = append(all, part...)
		}
	}
	if !answered {
		return nil, rlberror.New("get "+path, KindUnavailable, last)
	}
	return all, nil
}

func (c *Client) get(ctx context.Context, path string, out any) error {
	var last error
	for _, address := range c.addresses {
		if last = c.getFrom(ctx, address, path, out); last == nil {
			return nil
		}
	}
	return rlberror.New("get "+path, KindUnavailable, last)
}

func (c *Client) getFrom(ctx context.Context, address, path string, out any) error {
	_, err := rlbhttp.Call(ctx, c.http, http.MethodGet, c.scheme+"://"+address+path, nil, out)
	return err
}

// send posts a note's text. A rejection is an answer; without any answer the
// next controller is tried.
func (c *Client) send(ctx context.Context, path string, header http.Header, text []byte, out any) (*Rejection, error) {
	var last error
	kind := KindUnavailable
	for _, address := range c.addresses {
		answer, err := rlbhttp.Do(ctx, c.http, http.MethodPost, c.scheme+"://"+address+path, header, text)
		if err == nil {
			return nil, json.Unmarshal(answer.Body, out)
		}
		var rejection Rejection
		if json.Unmarshal(answer.Body, &rejection) == nil && rejection.Kind != "" {
			return &rejection, nil
		}
		if !rlberror.Is(err, rlbhttp.KindNotSent) {
			kind = KindUnsure
		}
		last = err
	}
	return nil, rlberror.New("send note", kind, last)
}
