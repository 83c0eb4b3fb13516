// Package rlbinstance is the interface to the platform's list of live and
// leaving instances, and its HTTP client. The list lags behind the fleet.
//
// Protocol: GET /instances returns {"revision": N, "instances": [...]}.
package rlbinstance

import (
	"context"
	"net/http"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbhttp"
)

// Type says what an instance runs.
type Type string

// The types of instances.
const (
	TypeEngine  Type = "engine"  // a model engine
	TypeService Type = "service" // a plain service
	TypeEntry   Type = "entry"   // a gateway and a controller of this system
)

// Instance is one entry of the list.
type Instance struct {
	ID            string `json:"id" msgpack:"i"`
	Type          Type   `json:"type" msgpack:"t"`
	Address       string `json:"address" msgpack:"a"`           // IP:port for requests
	Control       string `json:"control,omitempty" msgpack:"c"` // IP:port for orders or control links
	FailureDomain string `json:"failure_domain" msgpack:"f"`
	Role          string `json:"role,omitempty" msgpack:"r"` // role of an engine, name of a plain service
	Fencing       bool   `json:"fencing,omitempty" msgpack:"n"`
	Leaving       bool   `json:"leaving,omitempty" msgpack:"l"`
}

// List is the list at a revision.
type List struct {
	Revision  uint64     `json:"revision"`
	Instances []Instance `json:"instances"`
}

// Lister returns the platform's list.
type Lister interface {
	List(ctx context.Context) (List, error)
}

// Kind is the kind of a failure.
type Kind int

// KindUnavailable means that no list could be read.
const KindUnavailable Kind = 0

// String names the kind.
func (k Kind) String() string { return "instance list unavailable" }

// Error is this package's error.
type Error = rlberror.Error[Kind]

// Client reads the list over HTTP.
type Client struct {
	url     string
	http    *http.Client
	timeout time.Duration
}

// NewClient returns a client of the list at address (IP:port) whose calls wait
// at most timeout, and its clean-up function.
func NewClient(address string, timeout time.Duration) (*Client, func()) {
	client, closeIdle := rlbhttp.NewClient(timeout, time.Minute, 1)
	return &Client{"http://" + address + "/instances", client, timeout}, closeIdle
}

// List implements Lister.
func (c *Client) List(ctx context.Context) (List, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var list List
	if _, err := rlbhttp.Call(ctx, c.http, http.MethodGet, c.url, nil, &list); err != nil {
		return list, rlberror.New("list instances", KindUnavailable, err)
	}
	return list, nil
}
