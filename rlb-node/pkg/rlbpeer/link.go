package rlbpeer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/apex/log"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbwire"
	"github.com/vmihailenco/msgpack/v5"
)

// Terms of a link.
const (
	maxDatagram  = 60 << 10        // bytes
	queryTimeout = 2 * time.Second // of either end of a question
)

// Types of frames.
const (
	frameQuery rlbwire.Type = iota + 1
	frameReply
)

// Query is a call from one instance to another. One field is set.
type Query struct {
	Adapter *AdapterQuery `msgpack:"a,omitempty"`
	Changes *ChangesQuery `msgpack:"k,omitempty"`
}

// AdapterQuery asks for an endpoint on which an adapter is loaded.
type AdapterQuery struct {
	Service string   `msgpack:"s"`
	Model   string   `msgpack:"m"`
	Adapter string   `msgpack:"a"`
	Domain  string   `msgpack:"d"` // of the instance that asks
	Avoid   []string `msgpack:"v,omitempty"`
}

// ChangesQuery asks what the other instance knows of the deployment that is
// newer than what this one does.
type ChangesQuery struct {
	ConfigVersion uint64 `msgpack:"c"` // version in force
	EntryRevision uint64 `msgpack:"e"` // newest revision
}

// Reply answers a question.
type Reply struct {
	Endpoints []string `msgpack:"e,omitempty"` // that hold the adapter, the best first
	Reason    string   `msgpack:"r,omitempty"` // why there is none
	Config    []byte   `msgpack:"c,omitempty"`
	Entries   []Entry  `msgpack:"n,omitempty"`
}

// Entry is an endpoint's entry as it stands in the object API.
type Entry struct {
	Name    string `msgpack:"n"`
	Version uint64 `msgpack:"v"`
	Value   []byte `msgpack:"b,omitempty"`
	Deleted bool   `msgpack:"x,omitempty"`
	Lapsed  bool   `msgpack:"l,omitempty"` // removed in an outage: it may come back
}

// Handler answers the questions of other instances.
type Handler func(ctx context.Context, q Query) Reply

// LinkOpts are what a link is made of.
type LinkOpts struct {
	Log     log.Interface
	Listen  string // IP:port for datagrams and for connections
	Address string // at which the others reach this instance
	Fleet   *Fleet
	Now     func() time.Time
	Handler Handler
	// Digest returns what is told; it is asked each time.
	Digest func() Digest
	// LoadVersion counts up with each change of the instance's load.
	LoadVersion func() uint64
}

// Link carries digests and questions.
type Link struct {
	log         log.Interface
	fleet       *Fleet
	now         func() time.Time
	address     string // of this instance
	packets     *net.UDPConn
	listener    net.Listener
	handler     Handler
	digest      func() Digest
	loadVersion func() uint64
	limiter     digestLimiter
}

// NewLink listens for datagrams and for connections, and returns the link with
// its clean-up function.
func NewLink(opts LinkOpts) (*Link, func(), error) {
	udpAddress, err := net.ResolveUDPAddr("udp4", opts.Listen)
	if err != nil {
		return nil, nil, err
	}
	packets, err := net.ListenUDP("udp4", udpAddress)
	if err != nil {
		return nil, nil, err
	}
	listener, err := net.Listen("tcp4", opts.Listen)
	if err != nil {
		return nil, nil, errors.Join(err, packets.Close())
	}
	l := &Link{log: opts.Log, address: opts.Address, fleet: opts.Fleet, now: opts.Now, packets: packets, listener: listener, handler: opts.Handler, digest: opts.Digest, loadVersion: opts.LoadVersion}
	go l.receive()
	return l, func() {
		_ = packets.Close()
		_ = listener.Close()
	}, nil
}

// Run answers questions, and tells the digest to the domain, and the domain's
// summary to the others if this instance is its first, until ctx ends.
func (l *Link) Run(ctx context.Context) {
	go l.serve()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		if l.limiter.digestDue(l.now(), l.loadVersion()) {
			l.publish()
		}
		select {
		case <-ctx.Done():
			l.publish()
			return
		case <-ticker.C:
		}
	}
}

func (l *Link) publish() {
	d, now := l.digest(), l.now()
	own, others := l.fleet.Targets(now)
	l.limiter.digestSent(now, l.send(packet{Digest: &d}, own, d.Address))
	if l.fleet.IsDelegate(now, func(other Digest) bool { return !other.Leaving }) && l.limiter.summaryDue(now) {
		summary := l.fleet.Summarize(now, d)
		l.send(packet{Summary: &summary}, others, d.Address)
	}
}

// send sends a datagram to all targets but one; it returns how many bytes that
// takes.
func (l *Link) send(p packet, targets []string, except string) int {
	encoded, err := msgpack.Marshal(&p)
	if err != nil || len(encoded) > maxDatagram {
		l.log.WithFields(log.Fields{"bytes": len(encoded), "error": err}).Error("digest cannot be sent")
		return 0
	}
	for _, target := range targets {
		if target == except {
			continue
		}
		at, err := netip.ParseAddrPort(target)
		if err != nil {
			l.log.WithError(err).WithField("target", target).Warn("address of an instance cannot be read")
			continue
		}
		// A datagram that cannot leave now is replaced by the next one.
		_, _ = l.packets.WriteToUDPAddrPort(encoded, at)
	}
	return len(encoded) * len(targets)
}

func (l *Link) receive() {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := l.packets.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			l.log.WithError(err).Warn("digest cannot be received")
			continue
		}
		var p packet
		if err := msgpack.Unmarshal(buffer[:n], &p); err != nil {
			l.log.WithError(err).Warn("digest cannot be read")
			continue
		}
		l.apply(p)
	}
}

func (l *Link) apply(p packet) {
	now := l.now()
	if d := p.Digest; d != nil && l.fleet.ApplyDigest(now, *d) {
		l.log.WithFields(log.Fields{"peer": d.Name, "address": d.Address, "life": d.Incarnation}).Info("instance known")
	}
	if s := p.Summary; s != nil && l.fleet.ApplySummary(now, *s) && !s.Relayed {
		s.Relayed = true
		own, _ := l.fleet.Targets(now)
		l.send(packet{Summary: s}, own, l.address)
	}
}

func (l *Link) serve() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return // closed at shutdown
		}
		go l.serveQuery(rlbwire.NewConn(conn, queryTimeout))
	}
}

func (l *Link) serveQuery(conn *rlbwire.Conn) {
	defer func() { _ = conn.Close() }()
	frame, err := conn.Receive()
	if err != nil {
		return // the other end broke off
	}
	var q Query
	if err := frame.Decode(&q); err != nil {
		l.log.WithError(err).Warn("question of an instance cannot be read")
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	if err := conn.Send(frameReply, frame.Call, l.handler(ctx, q)); err != nil {
		l.log.WithError(err).Debug("answer to an instance cannot be sent")
	}
}

// Query puts a question to the instance at address.
func (l *Link) Query(ctx context.Context, address string, q Query) (Reply, error) {
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return Reply{}, err
	}
	conn := rlbwire.NewConn(raw, queryTimeout)
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if err := conn.Send(frameQuery, 1, q); err != nil {
		return Reply{}, err
	}
	frame, err := conn.Receive()
	if err != nil {
		return Reply{}, err
	}
	var reply Reply
	return reply, frame.Decode(&reply)
}
