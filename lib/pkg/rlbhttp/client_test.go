package rlbhttp

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestIdleConnections guards against an instance that keeps a connection to each of
// thousands of endpoints after it has read their reports.
func TestIdleConnections(t *testing.T) {
	Convey("A client that calls many hosts keeps a bounded number of connections", t, func() {
		client, closeIdle := NewClient(time.Second, time.Minute, 1)
		defer closeIdle()
		open := countConnections(client)
		for range maxIdleConns + 20 {
			server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
			defer server.Close()
			_, err := Do(t.Context(), client, http.MethodGet, server.URL, nil, nil)
			So(err, ShouldBeNil)
		}
		So(open.Load(), ShouldBeLessThanOrEqualTo, maxIdleConns)
	})
}

// countConnections returns the number of open connections of a client.
func countConnections(client *http.Client) *atomic.Int64 {
	var open atomic.Int64
	transport, _ := client.Transport.(*http.Transport)
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		open.Add(1)
		return &countedConn{conn, &open, atomic.Bool{}}, nil
	}
	return &open
}

// countedConn is a connection that lowers a counter when it is closed.
type countedConn struct {
	net.Conn
	open   *atomic.Int64
	closed atomic.Bool
}

func (c *countedConn) Close() error {
	if !c.closed.Swap(true) {
		c.open.Add(-1)
	}
	return c.Conn.Close()
}
