package rlbproxy

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// Limits of what is read of the body of a request that was answered without it, so that its
// connection can be used again.
const (
	maxUnreadBody     = 256 << 10 // bytes
	unreadBodyTimeout = 3 * time.Second
)

// refuseUnread refuses a request whose body was not read. The answer does not wait for it.
func (s *Server) refuseUnread(w http.ResponseWriter, req *request, r *refusal) {
	length := req.inbound.ContentLength
	if length == 0 {
		s.refuse(w, req, r)
		return
	}
	closes := length < 0 || length > maxUnreadBody
	if closes {
		w.Header().Set("Connection", "close")
	}
	control := http.NewResponseController(w)
	_ = control.EnableFullDuplex()
	_ = control.SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	s.refuse(w, req, r)
	_ = control.Flush()
	_, err := io.CopyN(io.Discard, req.inbound.Body, maxUnreadBody+1)
	if !errors.Is(err, io.EOF) && !closes {
		panic(http.ErrAbortHandler) // the rest of the body must not count as the next request
	}
}
