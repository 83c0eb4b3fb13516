// Package rlbweightstore is the interface to the weight store, which reports how
// much accelerator memory a version needs. Engines fetch the weights from the
// store directly; the store limits how many loads start.
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

// Store looks up versions in the weight store.
type Store interface {
	Manifest(ctx context.Context, name, version string) (Manifest, error)
}

// Kind classifies the errors of this package.
type Kind int

// Kinds of errors.
const (
	KindNotFound Kind = iota
	KindUnavailable
)

// String returns the text of the kind for error messages.
func (k Kind) String() string {
	return [...]string{"not in the weight store", "weight store unavailable"}[k]
}

// Error is the error type of this package.
type Error = rlberror.Error[Kind]

// Client is a Store over HTTP.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
}

// NewClient returns a client of the store at address (IP:port) whose calls time
// out after timeout, and a function that closes its idle connections.
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
	response, err := rlbhttp.Call(ctx, c.http, http.MethodGet, path, nil, &manifest)
	if response.Status == http.StatusNotFound {
		return manifest, rlberror.Newf("read manifest", KindNotFound, "%s version %s", name, version)
	}
	if err != nil {
		return manifest, rlberror.New("read manifest", KindUnavailable, err)
	}
	return manifest, nil
}
