package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// answer is what a consumer saw of a request.
type answer struct {
	id     string
	status int // 0: none
	body   string
	err    error
	took   time.Duration
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// ask sends a streaming request to a node on a new channel and reads the answer. The
// consumer gives up after wait.
func ask(n *node, model string, events int, limit, wait time.Duration, extra http.Header) answer {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.callers+"/draft/x", strings.NewReader("prompt"))
	request.Host = "fleet.example"
	a := answer{id: newID()}
	request.Header.Set("X-Request-Id", a.id)
	request.Header.Set("X-Model", model)
	request.Header.Set("X-Token-Count", "10,"+strconv.Itoa(events))
	request.Header.Set("X-Prompt-Prefix", "5c1e07a2:8,"+a.id[:8]+":2")
	request.Header.Set("X-Request-Deadline", strconv.FormatInt(limit.Milliseconds(), 10))
	for name, values := range extra {
		request.Header[name] = values
	}
	start := time.Now()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err == nil {
		defer response.Body.Close()
		var body []byte
		body, err = io.ReadAll(response.Body)
		a.status, a.body = response.StatusCode, string(body)
	}
	a.err, a.took = err, time.Since(start)
	return a
}
