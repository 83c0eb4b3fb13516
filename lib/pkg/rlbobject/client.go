package rlbobject

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbhttp"
)

const (
	connectTimeout = 500 * time.Millisecond
	idleTimeout    = 30 * time.Second
	idlePerHost    = 16
	maxWatchWait   = 30 * time.Second
)

// Client calls the object API over HTTP.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
	reads   metrics.Meter
	writes  metrics.Meter
}

// NewClient returns a client of the API at address (IP:port), and its clean-up
// function. Calls whose context has no deadline end after timeout. Calls are
// counted in registry.
func NewClient(address string, timeout time.Duration, registry metrics.Registry) (*Client, func()) {
	client, closeIdle := rlbhttp.NewClient(connectTimeout, idleTimeout, idlePerHost)
	c := &Client{
		base:    "http://" + address + "/objects/",
		http:    client,
		timeout: timeout,
		reads:   metrics.GetOrRegisterMeter("object_reads", registry),
		writes:  metrics.GetOrRegisterMeter("object_writes", registry),
	}
	return c, func() {
		c.reads.Stop()
		c.writes.Stop()
		closeIdle()
	}
}

// Get implements API.
func (c *Client) Get(ctx context.Context, key Key) (Object, error) {
	c.reads.Mark(1)
	response, err := c.call(ctx, http.MethodGet, key.String(), nil, nil)
	if err != nil {
		return Object{}, err
	}
	version, err := parseVersion(response.Header.Get("ETag"))
	if err != nil {
		return Object{}, rlberror.New("get "+key.String(), KindInvalid, err)
	}
	return Object{Name: key.Name, Version: version, Value: response.Body}, nil
}

// Put implements API.
func (c *Client) Put(ctx context.Context, key Key, value []byte, expected Version) (Version, error) {
	if len(value) > int(MaxValueBytes) {
		return 0, rlberror.Newf("put "+key.String(), KindTooLarge, "%d bytes", len(value))
	}
	c.writes.Mark(1)
	response, err := c.call(ctx, http.MethodPut, key.String(), precondition(expected), value)
	if err != nil {
		return 0, err
	}
	version, err := parseVersion(response.Header.Get("ETag"))
	if err != nil {
		return 0, rlberror.New("put "+key.String(), KindUnknown, err)
	}
	return version, nil
}

// Delete implements API.
func (c *Client) Delete(ctx context.Context, key Key, expected Version) error {
	c.writes.Mark(1)
	_, err := c.call(ctx, http.MethodDelete, key.String(), precondition(expected), nil)
	return err
}

// List implements API.
func (c *Client) List(ctx context.Context, kind string) (Changes, error) {
	c.reads.Mark(1)
	return c.fetchChanges(ctx, kind)
}

// Watch implements API.
func (c *Client) Watch(ctx context.Context, kind string, after Version, deadline time.Time) (Changes, error) {
	c.reads.Mark(1)
	wait := min(time.Until(deadline), maxWatchWait)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(c.timeout))
	defer cancel()
	return c.fetchChanges(ctx, fmt.Sprintf("%s?after=%d&wait=%d", kind, after, wait.Milliseconds()))
}

func (c *Client) fetchChanges(ctx context.Context, path string) (Changes, error) {
	var changes Changes
	response, err := c.call(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return changes, err
	}
	if err := json.Unmarshal(response.Body, &changes); err != nil {
		return changes, rlberror.New("list "+path, KindInvalid, err)
	}
	return changes, nil
}

func (c *Client) call(ctx context.Context, method, path string, header http.Header, body []byte) (rlbhttp.Response, error) {
	if _, bounded := ctx.Deadline(); !bounded {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.timeout)
		defer cancel()
	}
	response, err := rlbhttp.Do(ctx, c.http, method, c.base+path, header, body)
	if err == nil {
		return response, nil
	}
	return response, rlberror.New(strings.ToLower(method)+" "+path, kindOf(response.Status, err), err)
}

func kindOf(status int, err error) Kind {
	switch kind, _ := rlberror.KindOf[rlbhttp.Kind](err); kind {
	case rlbhttp.KindNotSent:
		return KindUnavailable
	case rlbhttp.KindStatus:
		return kindOfStatus(status)
	default:
		return KindUnknown
	}
}

func kindOfStatus(status int) Kind {
	switch status {
	case http.StatusNotFound:
		return KindNotFound
	case http.StatusPreconditionFailed:
		return KindConflict
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return KindUnavailable
	case http.StatusRequestEntityTooLarge:
		return KindTooLarge
	case http.StatusGone:
		return KindExpired
	}
	if status < http.StatusBadRequest || status >= http.StatusInternalServerError {
		return KindUnknown
	}
	return KindInvalid
}

func precondition(expected Version) http.Header {
	if expected == 0 {
		return http.Header{"If-None-Match": {"*"}}
	}
	return http.Header{"If-Match": {FormatETag(expected)}}
}

// FormatETag formats a version as an entity tag.
func FormatETag(v Version) string { return strconv.Quote(strconv.FormatUint(uint64(v), 10)) }

func parseVersion(tag string) (Version, error) {
	n, err := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("entity tag %q is no version: %w", tag, err)
	}
	return Version(n), nil
}
