package rlbproxy

import "net/http"

// abort ends the handler of a request that gets no answer, or not all of it, so that the
// caller can't take what it has for a whole one.
func abort(w http.ResponseWriter, req *request) {
	if req.started && !req.inbound.ProtoAtLeast(1, 1) {
		resetConnection(w) // without chunks, the end of the connection is that of the answer
	}
	panic(http.ErrAbortHandler)
}

// resetConnection closes the connection of a caller by a reset.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // not supported by every ResponseWriter
	}
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
