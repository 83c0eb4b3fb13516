// Package rlbinstance provides the interface to the platform's list of live and
// leaving instances, and its HTTP client. The list shows changes of the fleet
// with a delay.
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

// Type is what an instance runs.
type Type string

// Types of instances.
const (
	TypeEngine       Type = "engine"  // a model engine
	TypeService      Type = "service" // a plain service, not a model engine
	TypeLoadBalancer Type = "entry"   // a gateway and a controller of this system
)

// Instance is an instance in the list.
type Instance struct {
	ID            string `json:"id" msgpack:"i"`
	Type          Type   `json:"type" msgpack:"t"`
	Address       string `json:"address" msgpack:"a"`           // IP:port for requests
	Control       string `json:"control,omitempty" msgpack:"c"` // IP:port for orders (engines) or control links (gateways and controllers)
	FailureDomain string `json:"failure_domain" msgpack:"f"`
	Role          string `json:"role,omitempty" msgpack:"r"` // role of an engine or name of a service
	Fencing       bool   `json:"fencing,omitempty" msgpack:"n"`
	Leaving       bool   `json:"leaving,omitempty" msgpack:"l"`
}

// List is a revision of the list.
type List struct {
	Revision  uint64     `json:"revision"`
	Instances []Instance `json:"instances"`
}

// Lister reads the instance list of the platform.
type Lister interface {
	List(ctx context.Context) (List, error)
}

// Kind classifies the errors of this package.
type Kind int

// KindUnavailable means that the list could not be read.
const KindUnavailable Kind = 0

// String returns the text of the kind for error messages.
func (k Kind) String() string { return "instance list unavailable" }

// Error is the error type of this package.
type Error = rlberror.Error[Kind]

// Client is a Lister over HTTP.
type Client struct {
	url     string
	http    *http.Client
	timeout time.Duration
}

// NewClient returns a client of the list at address (IP:port) whose calls time
// out after timeout, and a function that closes its idle connections.
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
