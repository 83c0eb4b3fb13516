// Package rlbhttp makes JSON calls over HTTP and tells apart calls that were
// never sent, were refused, or may have taken effect.
package rlbhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"
)

// MaxBody is the longest answer body that Call reads.
const MaxBody = 8 << 20

// Kind is the kind of a call's failure.
type Kind int

// The kinds: NotSent means that no byte left, Unknown that the call may have
// taken effect, Status that an answer came with an error status.
const (
	KindNotSent Kind = iota
	KindUnknown
	KindStatus
	KindEncoding
)

// String names the kind.
func (k Kind) String() string {
	return [...]string{"not sent", "no answer", "error status", "bad encoding"}[k]
}

// Error is this package's error.
type Error = rlberror.Error[Kind]

// Response is a call's answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Call sends one request with a JSON body (nil in: none) and decodes a 2xx
// answer into out (nil: ignored). Other statuses return a KindStatus error
// together with the answer.
func Call(ctx context.Context, client *http.Client, method, url string, in, out any) (Response, error) {
	var body []byte
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return Response{}, rlberror.New("encode request", KindEncoding, err)
		}
		body = encoded
	}
	answer, err := Do(ctx, client, method, url, http.Header{"Content-Type": {"application/json"}}, body)
	if err != nil || out == nil {
		return answer, err
	}
	if err := json.Unmarshal(answer.Body, out); err != nil {
		return answer, rlberror.New("decode answer", KindEncoding, err)
	}
	return answer, nil
}

// Do sends one request with the given header and body and reads the answer.
// Statuses from 300 return a KindStatus error together with the answer.
func Do(ctx context.Context, client *http.Client, method, url string, header http.Header, body []byte) (Response, error) {
	op := method + " " + url
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return Response{}, rlberror.New(op, KindNotSent, err)
	}
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := client.Do(req)
	if err != nil {
		return Response{}, rlberror.New(op, classify(err), err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, MaxBody))
	answer := Response{Status: resp.StatusCode, Header: resp.Header, Body: data}
	if err != nil {
		return answer, rlberror.New(op, KindUnknown, err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return answer, rlberror.Newf(op, KindStatus, "status %d: %s", resp.StatusCode, bytes.TrimSpace(data))
	}
	return answer, nil
}

func classify(err error) Kind {
	if NotSent(err) {
		return KindNotSent
	}
	return KindUnknown
}

// NotSent reports whether err shows that the connection was never made, so
// that no byte of the request can have arrived.
func NotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// NewClient returns a client with its own connections, and a clean-up function
// that closes the idle ones.
func NewClient(connect, idle time.Duration, perHost int) (*http.Client, func()) {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: connect, KeepAlive: idle}).DialContext,
		MaxIdleConnsPerHost: perHost,
		IdleConnTimeout:     idle,
		DisableCompression:  true,
	}
	return &http.Client{Transport: transport}, transport.CloseIdleConnections
}
