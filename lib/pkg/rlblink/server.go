package rlblink

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfleetstate"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbwire"
	"github.com/vmihailenco/msgpack/v5"
)

// Source provides the data that a server sends, and handles what clients send.
type Source interface {
	// Delta returns the rows changed since the cursor and advances it.
	Delta(cursor *rlbfleetstate.Cursor) rlbfleetstate.Update
	// ApplyReport applies the rows that a client collected.
	ApplyReport(update rlbfleetstate.Update)
	// HandleCall carries out a call and returns its response.
	HandleCall(ctx context.Context, method Method, body []byte) (any, error)
}

// ServerOpts are the options of a server.
type ServerOpts struct {
	Log            *log.Entry
	Source         Source
	UpdateInterval time.Duration // between two updates to gateways
	// ControllerIntervalFactor is the number of update intervals between two updates
	// to controllers.
	ControllerIntervalFactor int
	UrgentChanges            <-chan struct{} // a value triggers updates to all subscribers immediately
	IdleTimeout              time.Duration   // after which a link without messages is closed
}

// Server accepts links and sends updates to its subscribers.
type Server struct {
	opts   ServerOpts
	mu     sync.Mutex
	links  map[*rlbwire.Conn]struct{}
	feeds  map[rlbfleetstate.Scope]*feed
	closed bool
	wg     sync.WaitGroup
}

// feed sends the same updates to all subscribers of one scope, encoded once.
type feed struct {
	cursor      *rlbfleetstate.Cursor
	subscribers map[*subscriber]struct{}
}

// subscriber is a link that receives the updates of a feed.
type subscriber struct {
	conn    *rlbwire.Conn
	updates chan []byte
}

// maxQueuedUpdates is how many updates are queued for a subscriber. If the queue
// is full, its link is closed, and the subscriber starts again with a full update.
const maxQueuedUpdates = 8

// NewServer returns a server that accepts links from listener, and its clean-up
// function, which closes the links and waits for their goroutines.
func NewServer(ctx context.Context, listener net.Listener, opts ServerOpts) (*Server, func()) {
	ctx, cancel := context.WithCancel(ctx)
	s := &Server{opts: opts, links: map[*rlbwire.Conn]struct{}{}, feeds: map[rlbfleetstate.Scope]*feed{}}
	for _, scope := range []rlbfleetstate.Scope{rlbfleetstate.ScopeAll, rlbfleetstate.ScopeSameDomain, rlbfleetstate.ScopeOtherDomain} {
		s.feeds[scope] = &feed{rlbfleetstate.NewCursor(scope), map[*subscriber]struct{}{}}
	}
	s.wg.Add(2)
	go s.accept(ctx, listener)
	go s.publish(ctx)
	return s, func() {
		cancel()
		_ = listener.Close()
		s.closeAll()
		s.wg.Wait()
	}
}

func (s *Server) accept(ctx context.Context, listener net.Listener) {
	defer s.wg.Done()
	for {
		netConn, err := listener.Accept()
		if err != nil {
			return
		}
		conn := rlbwire.NewConn(netConn, s.opts.IdleTimeout)
		if !s.addLink(conn) {
			_ = conn.Close()
			return
		}
		go s.serveLink(ctx, conn)
	}
}

func (s *Server) addLink(conn *rlbwire.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.links[conn] = struct{}{}
	s.wg.Add(1)
	return true
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.links {
		_ = conn.Close()
	}
}

// serveLink handles the messages of one client until its link ends.
func (s *Server) serveLink(ctx context.Context, conn *rlbwire.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer s.wg.Done()
	defer func() {
		cancel()
		_ = conn.Close()
		s.mu.Lock()
		delete(s.links, conn)
		s.mu.Unlock()
	}()
	hello, err := receiveHello(conn)
	if err != nil {
		s.opts.Log.WithError(err).Warn("link rejected: no valid hello message")
		return
	}
	f, known := s.feeds[hello.Scope]
	if !known {
		s.opts.Log.WithField("scope", int(hello.Scope)).Warn("link rejected: unknown scope")
		return
	}
	sub := &subscriber{conn, make(chan []byte, maxQueuedUpdates)}
	s.wg.Add(1)
	go s.sendUpdates(ctx, f, hello.Scope, sub)
	for {
		frame, err := conn.Receive()
		if err != nil {
			return
		}
		if err := s.handleFrame(ctx, conn, frame); err != nil {
			s.opts.Log.WithError(err).WithField("node", hello.Process.ID).Warn("failed to process a message of the client; closing the link")
			return
		}
	}
}

func receiveHello(conn *rlbwire.Conn) (Hello, error) {
	var hello Hello
	frame, err := conn.Receive()
	if err != nil {
		return hello, err
	}
	if err := frame.Decode(&hello); err != nil {
		return hello, err
	}
	if frame.Type != TypeHello || hello.Protocol != Protocol {
		return hello, rlberror.Newf("open link", KindRefused, "message type %d with protocol %d, want a hello with protocol %d", frame.Type, hello.Protocol, Protocol)
	}
	return hello, nil
}

// publish sends the changes to the subscribers of every feed until ctx ends: to
// gateways at each interval, to controllers less often.
func (s *Server) publish(ctx context.Context) {
	defer s.wg.Done()
	ticker := time.NewTicker(s.opts.UpdateInterval)
	defer ticker.Stop()
	for tick := 0; ; {
		urgent := false
		select {
		case <-ctx.Done():
			return
		case <-s.opts.UrgentChanges:
			urgent = true
		case <-ticker.C:
			tick++
		}
		for scope, f := range s.feeds {
			if urgent || scope == rlbfleetstate.ScopeAll || tick%max(1, s.opts.ControllerIntervalFactor) == 0 {
				s.publishFeed(f)
			}
		}
	}
}

func (s *Server) publishFeed(f *feed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(f.subscribers) == 0 {
		return // a new subscriber receives a full update first
	}
	frame, err := rlbwire.Encode(TypeUpdate, 0, s.opts.Source.Delta(f.cursor))
	if err != nil {
		s.opts.Log.WithError(err).Error("failed to encode an update; it is not sent")
		return
	}
	for sub := range f.subscribers {
		select {
		case sub.updates <- frame:
		default:
			_ = sub.conn.Close()
		}
	}
}

// sendUpdates sends a full update and then the updates of the feed until the link
// ends.
func (s *Server) sendUpdates(ctx context.Context, f *feed, scope rlbfleetstate.Scope, sub *subscriber) {
	defer s.wg.Done()
	defer func() { _ = sub.conn.Close() }()
	s.mu.Lock()
	if len(f.subscribers) == 0 {
		f.cursor = rlbfleetstate.NewCursor(scope)
		s.opts.Source.Delta(f.cursor) // no subscriber needs the earlier changes
	}
	f.subscribers[sub] = struct{}{}
	fullUpdate := s.opts.Source.Delta(rlbfleetstate.NewCursor(scope))
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(f.subscribers, sub)
	}()
	if err := sub.conn.Send(TypeUpdate, 0, fullUpdate); err != nil {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case frame := <-sub.updates:
			if err := sub.conn.Write(frame); err != nil {
				return
			}
		}
	}
}

func (s *Server) handleFrame(ctx context.Context, conn *rlbwire.Conn, frame rlbwire.Frame) error {
	switch frame.Type {
	case TypeReport:
		var update rlbfleetstate.Update
		if err := frame.Decode(&update); err != nil {
			return err
		}
		s.opts.Source.ApplyReport(update)
	case TypeCall:
		var call Call
		if err := frame.Decode(&call); err != nil {
			return err
		}
		s.wg.Add(1)
		go s.serveCall(ctx, conn, frame.Call, call)
	}
	return nil
}

func (s *Server) serveCall(ctx context.Context, conn *rlbwire.Conn, number uint64, call Call) {
	defer s.wg.Done()
	response, err := s.opts.Source.HandleCall(ctx, call.Method, call.Body)
	if err != nil {
		_ = conn.Send(TypeError, number, ErrorResponse{err.Error()}) // serveLink closes a failed link
		return
	}
	body, err := msgpack.Marshal(response)
	if err != nil {
		_ = conn.Send(TypeError, number, ErrorResponse{err.Error()})
		return
	}
	_ = conn.Send(TypeResponse, number, body)
}
