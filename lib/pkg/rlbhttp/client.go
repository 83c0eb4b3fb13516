// Package rlbhttp makes JSON calls over HTTP. Its errors distinguish calls that
// were not sent, calls answered with an error status, and calls that may have
// taken effect.
package rlbhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"
)

// MaxBody is the maximum size of a response body in bytes; the rest is not read.
const MaxBody = 8 << 20

// Kind classifies the errors of this package.
type Kind int

// Kinds of errors. KindNotSent means that no byte was sent, KindUnknown that the
// call may have taken effect, KindStatus that the response has an error status.
const (
	KindNotSent Kind = iota
	KindUnknown
	KindStatus
	KindEncoding
)

// String returns the text of the kind for error messages.
func (k Kind) String() string {
	return [...]string{"not sent", "no answer", "error status", "bad encoding"}[k]
}

// Error is the error type of this package.
type Error = rlberror.Error[Kind]

// Response is the response to a call.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Call sends a request with in as its JSON body and decodes a 2xx response into
// out. A nil in sends no body, a nil out skips decoding. For other statuses it
// returns the response and an error of KindStatus.
func Call(ctx context.Context, client *http.Client, method, url string, in, out any) (Response, error) {
	var body []byte
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return Response{}, rlberror.New("encode request", KindEncoding, err)
		}
		body = encoded
	}
	response, err := Do(ctx, client, method, url, http.Header{"Content-Type": {"application/json"}}, body)
	if err != nil || out == nil {
		return response, err
	}
	if err := json.Unmarshal(response.Body, out); err != nil {
		return response, rlberror.New("decode response", KindEncoding, err)
	}
	return response, nil
}

// Do sends a request with the given header and body and reads the response. For
// statuses from 300 it returns the response and an error of KindStatus.
func Do(ctx context.Context, client *http.Client, method, url string, header http.Header, body []byte) (Response, error) {
	op := method + " " + url
	req, err := http.NewRequestWithContext(withInterimCheck(ctx), method, url, bytes.NewReader(body))
	if err != nil {
		return Response{}, rlberror.New(op, KindNotSent, err)
	}
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := client.Do(req)
	if err != nil {
		return Response{}, rlberror.New(op, kindOfError(err), err)
	}
	defer resp.Body.Close()
	if !IsFinal(resp.StatusCode) {
		return Response{}, rlberror.Newf(op, KindUnknown, "the status is that of no answer: %q", resp.Status)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, MaxBody))
	response := Response{Status: resp.StatusCode, Header: resp.Header, Body: data}
	if err != nil {
		return response, rlberror.New(op, KindUnknown, err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return response, rlberror.Newf(op, KindStatus, "status %d: %s", resp.StatusCode, bytes.TrimSpace(data))
	}
	return response, nil
}

// withInterimCheck makes a call fail at an interim answer that says how long its body is. It can
// have none, so that the bytes after it would be taken for the final answer.
func withInterimCheck(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(code int, header textproto.MIMEHeader) error {
			if length := header.Get("Content-Length"); length != "" && length != "0" {
				return fmt.Errorf("an interim answer with status %d has a body", code)
			}
			return nil
		},
	})
}

// IsFinal reports whether an answer with a status ends a request. Others are interim answers, or
// none at all, such as 000, whatever their header says.
func IsFinal(status int) bool {
	const last = 599
	return status >= http.StatusOK && status <= last
}

func kindOfError(err error) Kind {
	if NotSent(err) {
		return KindNotSent
	}
	return KindUnknown
}

// NotSent reports whether err means that no connection was established, so that
// no byte of the request was sent.
func NotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// maxIdleConns is the maximum number of idle connections of a client to all hosts together:
// the number of hosts has no bound, and each connection takes memory and a descriptor.
const maxIdleConns = 128

// NewClient returns a client with its own connection pool, and a function that
// closes the idle connections of the pool. The parameters are the timeout for
// connecting, the time after which an idle connection is closed, and the maximum
// number of idle connections per host.
func NewClient(connect, idle time.Duration, perHost int) (*http.Client, func()) {
	dialer := &net.Dialer{Timeout: connect, KeepAlive: idle}
	return NewClientWithDial(dialer.DialContext, idle, perHost)
}

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewClientWithDial returns a client like NewClient whose connections dial opens.
func NewClientWithDial(dial Dial, idle time.Duration, perHost int) (*http.Client, func()) {
	transport := &http.Transport{
		DialContext:         dial,
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: perHost,
		IdleConnTimeout:     idle,
		DisableCompression:  true,
	}
	// A redirection is an answer like others: a call is meant for the host that it was sent to.
	keepRedirections := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: transport, CheckRedirect: keepRedirections}, transport.CloseIdleConnections
}
