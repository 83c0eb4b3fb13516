package rlbdispatch

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbroute"
)

// byteInterval is how often the endpoint of these tests sends a byte.
const byteInterval = 300 * time.Millisecond

// dialSlow opens a connection to an endpoint that sends its answer byte by byte after a
// head that it sends at once.
func dialSlow(head, rest string) Dial {
	return func(context.Context, string) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			defer func() { _ = server.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(server)); err != nil {
				return
			}
			if _, err := server.Write([]byte(head)); err != nil {
				return
			}
			for i := range rest {
				time.Sleep(byteInterval)
				if _, err := server.Write([]byte{rest[i]}); err != nil {
					return
				}
			}
		}()
		return client, nil
	}
}

// readSlow sends a request with timeouts of a second and a deadline of a minute, and reads
// the answer. It returns the fault, how long that took, and whether the answer is complete.
func readSlow(t *testing.T, dial Dial, events bool, onByte func(*Incoming)) (fault rlbroute.Fault, took time.Duration, complete bool) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(2 * byteInterval) // until the endpoint sees the end of the connection
		d, closeDispatcher := New(Opts{Dial: dial, FirstByteTimeout: time.Second, ReusedFirstByteTimeout: time.Second, IdleTimeout: time.Second, SweepInterval: time.Hour})
		defer closeDispatcher()
		start := time.Now()
		defer func() { took = time.Since(start) }()
		in, err := d.Send(t.Context(), "e", &Outgoing{Method: http.MethodGet, Path: "/", Host: "h", Header: http.Header{}, Deadline: start.Add(time.Minute), Events: events}, func() {})
		if err != nil {
			fault, _ = rlberror.KindOf[rlbroute.Fault](err)
			return
		}
		defer in.Abort()
		for b := make([]byte, 1); ; onByte(in) {
			if _, err := in.Body.Read(b); err != nil {
				fault, complete = in.Fault(err), err == io.EOF
				return
			}
		}
	})
	return fault, took, complete
}

func TestBytesNowAndThenAreNoProgressOfAStream(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n"
	const events = "01234567890123456789"
	idle := func(*Incoming) {}
	t.Run("a stream without progress is silent, although bytes arrive", func(t *testing.T) {
		if fault, took, _ := readSlow(t, dialSlow(head, events), true, idle); fault != rlbroute.FaultSilent || took > 2*time.Second {
			t.Errorf("%v after %v", fault, took)
		}
	})
	t.Run("so is an answer whose head arrives byte by byte", func(t *testing.T) {
		if fault, took, _ := readSlow(t, dialSlow("", head+events), true, idle); fault != rlbroute.FaultSilent || took > 2*time.Second {
			t.Errorf("%v after %v", fault, took)
		}
	})
	t.Run("a slow stream that makes progress is not cut", func(t *testing.T) {
		if _, took, complete := readSlow(t, dialSlow(head, events), true, (*Incoming).RecordProgress); !complete || took < 5*time.Second {
			t.Errorf("complete: %t after %v", complete, took)
		}
	})
	t.Run("nor is a slow answer that is no stream", func(t *testing.T) {
		if _, _, complete := readSlow(t, dialSlow(head, events), false, idle); !complete {
			t.Error("the answer was cut")
		}
	})
}
