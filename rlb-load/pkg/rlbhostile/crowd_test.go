//go:build hostile

package rlbhostile

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Sizes in bytes.
const (
	legalHead = 16 << 10  // the limit that the configuration of the deployment states
	longHead  = 66 << 10  // over every limit of a head
	longFrame = 512 << 10 // of a message between processes, whose limit is longer
)

// crowdSize is the number of connections of a crowd.
const crowdSize = 400

// behavior is how each client of a crowd misbehaves. Its connection stays open afterwards.
type behavior struct {
	name string
	send func(w io.Writer)
}

func text(s string) func(io.Writer) {
	return func(w io.Writer) { _, _ = io.WriteString(w, s) }
}

// head returns a head of a size, without its end, whose header lines are those of line.
func head(method string, size int, line func(n int) string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s /lookup/x HTTP/1.1\r\nHost: fleet.example\r\nX-Request-Id: hostile\r\n", method)
	for n := 0; ; n++ {
		next := line(n)
		if b.Len()+len(next)+len("Content-Length: 9\r\n\r\n") > size {
			return b.String()
		}
		b.WriteString(next)
	}
}

func shortLine(int) string      { return "a:\r\n" }
func barestLine(int) string     { return "a:\n" }
func distinctLine(n int) string { return fmt.Sprintf("%x:\n", n) }
func oddLine(n int) string      { return fmt.Sprintf("!%x~:\t\t%c \n", n, 0x80) }
func longLine(int) string       { return "a: " + strings.Repeat("v", 8000) + "\r\n" }
func foldedLine(int) string     { return "a: b\r\n c\r\n\td\r\n" }

// ends returns a head that is complete, of a request without a body.
func ends(head string) string { return head + "\r\n" }

// withOpenBody returns a complete head whose body does not come.
func withOpenBody(head string) string { return head + "Content-Length: 9\r\n\r\n" }

// withOpenChunks returns a complete head and the first of its chunks.
func withOpenChunks(head string) string { return head + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n" }

func onePerWrite(s string) func(io.Writer) {
	return func(w io.Writer) {
		for i := range len(s) {
			if _, err := io.WriteString(w, s[i:i+1]); err != nil {
				return
			}
		}
	}
}

const (
	smallRequest = "GET /lookup/x HTTP/1.1\r\nHost: fleet.example\r\nX-Request-Id: hostile\r\n\r\n"
	smallChunked = "POST /lookup/x HTTP/1.1\r\nHost: fleet.example\r\nX-Request-Id: hostile\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"
)

// headBehaviors are those of clients that speak HTTP.
var headBehaviors = []behavior{
	{"send nothing", func(io.Writer) {}},
	{"heads of legal size of short lines, their bodies held back", text(withOpenBody(head("POST", legalHead, shortLine)))},
	{"heads of legal size of distinct names, their bodies held back", text(withOpenBody(head("POST", legalHead, distinctLine)))},
	{"heads of legal size of distinct names, their chunks held back", text(withOpenChunks(head("POST", legalHead, distinctLine)))},
	{"heads of legal size without end, one name repeated", text(head("GET", legalHead, barestLine))},
	{"heads of legal size without end, distinct names", text(head("GET", legalHead, distinctLine))},
	{"heads of legal size without end, odd lines", text(head("GET", legalHead, oddLine))},
	{"heads of legal size without end, folded lines", text(head("GET", legalHead, foldedLine))},
	{"heads over the limit without end, short lines", text(head("GET", longHead, shortLine))},
	{"heads over the limit without end, distinct names", text(head("GET", longHead, distinctLine))},
	{"heads over the limit with end, distinct names", text(ends(head("GET", longHead, distinctLine)))},
	{"heads over the limit without end, long values", text(head("GET", longHead, longLine))},
	{"a line without end", text("GET /" + strings.Repeat("x", longHead))},
	{"empty lines without end", text(strings.Repeat("\r\n", longHead/2))},
	{"heads byte by byte", onePerWrite(head("GET", legalHead/8, distinctLine))},
	{"whole heads one after another, answers not read", text(strings.Repeat(ends(head("GET", legalHead, distinctLine)), 8))},
	{"small requests one after another, answers not read", text(strings.Repeat(smallRequest, 20000))},
	{"heads without end after small requests", text(strings.Repeat(smallRequest, 5) + head("GET", legalHead, distinctLine))},
	{"heads without end after requests in chunks", text(strings.Repeat(smallChunked, 5) + head("GET", legalHead, distinctLine))},
	{"bodies of half their length", text("POST /lookup/x HTTP/1.1\r\nHost: fleet.example\r\nX-Request-Id: hostile\r\nContent-Length: 600000\r\n\r\n" + strings.Repeat("b", 300000))},
}

// frame returns the first bytes of a message between processes that states a length.
func frame(length, sent int) string {
	stated := binary.BigEndian.AppendUint32(nil, uint32(length))
	return string(stated) + strings.Repeat("\xc0", sent)
}

// frameBehaviors are those of clients of the connections between processes.
var frameBehaviors = []behavior{
	{"send nothing", func(io.Writer) {}},
	{"frames without end", text(frame(8<<20, longFrame))},
	{"frames one after another", text(strings.Repeat(frame(longFrame, longFrame), 2))},
	{"frames over the limit", text(frame(1<<30, longFrame))},
	{"frames byte by byte", onePerWrite(frame(8<<20, 2000))},
}

// crowd is many clients that misbehave in the same way.
type crowd struct {
	gone  chan struct{}
	stays sync.WaitGroup
}

// newCrowd returns a crowd whose clients have sent what they send, or found their connection
// refused, closed or not read.
func newCrowd(address string, b behavior) *crowd {
	c := &crowd{gone: make(chan struct{})}
	var sending sync.WaitGroup
	for range crowdSize {
		sending.Add(1)
		c.stays.Go(func() {
			conn, err := dial(address)
			if err != nil {
				sending.Done()
				return
			}
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(patience))
			b.send(conn)
			sending.Done()
			<-c.gone
		})
	}
	sending.Wait()
	return c
}

// leave closes all connections.
func (c *crowd) leave() {
	close(c.gone)
	c.stays.Wait()
}

func dial(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, patience) }

// status sends a request and returns the status of its answer; 0: there is none.
func status(address, request string) int {
	conn, err := dial(address)
	if err != nil {
		return 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(patience))
	_, _ = io.WriteString(conn, request)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}
