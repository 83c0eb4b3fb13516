// Package rlbweightstore is the interface to the weight store, which tells how much
// accelerator memory a version needs. Engines fetch weights from it themselves;
// the store limits how many loads start.
//
// Protocol: GET /weights/NAME/VERSION returns {"memory": BYTES, "kind": KIND}.
package rlbweightstore

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbhttp"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbunit"
)

// Manifest describes one version of a model or adapter.
type Manifest struct {
	Memory rlbunit.Bytes `json:"memory"`
}

// Store tells what the weight store holds.
type Store interface {
	Manifest(ctx context.Context, name, version string) (Manifest, error)
}

// Kind is the kind of a failure.
type Kind int

// The kinds of failures.
const (
	KindNotFound Kind = iota
	KindUnavailable
)

// String names the kind.
func (k Kind) String() string {
	return [...]string{"not in the weight store", "weight store unavailable"}[k]
}

// Error is this package's error.
type Error = rlberror.Error[Kind]

// Client reads the store over HTTP.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
}

// NewClient returns a client of the store at address (IP:port) whose calls wait
// at most timeout, and its clean-up function.
func NewClient(address string, timeout time.Duration) (*Client, func()) {
	client, closeIdle := rlbhttp.NewClient(timeout, time.Minute, 4)
	return &Client{"http://" + address + "/weights/", client, timeout}, closeIdle
}

// Manifest implements Store.
func (c *Client) Manifest(ctx context.Context, name, version string) (Manifest, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var manifest Manifest
	path := c.base + url.PathEscape(name) + "/" + url.PathEscape(version)
	answer, err := rlbhttp.Call(ctx, c.http, http.MethodGet, path, nil, &manifest)
	if answer.Status == http.StatusNotFound {
		return manifest, rlberror.Newf("read manifest", KindNotFound, "%s version %s", name, version)
	}
	if err != nil {
		return manifest, rlberror.New("read manifest", KindUnavailable, err)
	}
	return manifest, nil
}
