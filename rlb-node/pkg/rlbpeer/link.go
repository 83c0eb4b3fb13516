package rlbpeer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcrash"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlborigin"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbquota"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbwire"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbdiscovery"
)

// Limits of a link.
const (
	maxDatagram  = 60 << 10        // bytes
	queryTimeout = 2 * time.Second // a query fails if its peer is silent this long; also limits the handler
)

// Frame types.
const (
	frameQuery rlbwire.Type = iota + 1
	frameReply
)

// Query is a call from one instance to another. Exactly one field is set.
type Query struct {
	Adapter *AdapterQuery `msgpack:"a,omitempty"`
	Changes *ChangesQuery `msgpack:"k,omitempty"`
	Connect *ConnectQuery `msgpack:"o,omitempty"`
}

// AdapterQuery requests endpoints on which an adapter is loaded.
type AdapterQuery struct {
	Service string   `msgpack:"s"`
	Model   string   `msgpack:"m"`
	Adapter string   `msgpack:"a"`
	Domain  string   `msgpack:"d"` // failure domain of the sender
	Avoid   []string `msgpack:"v,omitempty"`
}

// ChangesQuery requests the parts of the deployment that are newer at the receiver than
// at the sender.
type ChangesQuery struct {
	ConfigVersion uint64 `msgpack:"c"`           // sender's config version in force
	EntryRevision uint64 `msgpack:"e"`           // sender's newest entry revision
	Known         bool   `msgpack:"n,omitempty"` // the sender compares all its entries with those of the receiver
}

// Reply answers a query.
type Reply struct {
	Endpoints []string `msgpack:"e,omitempty"` // endpoints that hold the adapter, best first
	Reason    string   `msgpack:"r,omitempty"` // why there is no endpoint; the texts sent to other instances are part of the protocol and stay as they are
	Config    []byte   `msgpack:"c,omitempty"`
	Entries   []Entry  `msgpack:"n,omitempty"`
	Connected bool     `msgpack:"t,omitempty"` // the connection is a tunnel from here on, see ConnectQuery

	EntryRevision uint64         `msgpack:"v,omitempty"` // newest revision of an entry at the sender
	Fingerprint   uint64         `msgpack:"f,omitempty"` // of the sender's entries; 0: not known
	Known         []KnownVersion `msgpack:"k,omitempty"` // all entries of the sender
}

// KnownVersion is the version of an entry that an instance knows.
type KnownVersion struct {
	Name    string `msgpack:"n"`
	Version uint64 `msgpack:"v"`
}

// Entry is an endpoint's entry as stored in the object API.
type Entry struct {
	Name    string `msgpack:"n"`
	Version uint64 `msgpack:"v"`
	Value   []byte `msgpack:"b,omitempty"`
	Deleted bool   `msgpack:"x,omitempty"`
	Lapsed  bool   `msgpack:"l,omitempty"` // removed during an outage; it may reappear
}

// Datagrams sends and receives datagrams. *net.UDPConn implements it.
type Datagrams interface {
	ReadFromUDPAddrPort(buffer []byte) (int, netip.AddrPort, error)
	WriteToUDPAddrPort(data []byte, to netip.AddrPort) (int, error)
	Close() error
}

// Sockets are what a link receives on.
type Sockets struct {
	Datagrams Datagrams
	Listener  net.Listener
}

// Handler answers the queries of other instances.
type Handler func(ctx context.Context, q Query) Reply

// LinkOpts configures a Link.
type LinkOpts struct {
	Log     log.Interface
	Listen  string   // IP:port for datagrams and connections
	Sockets *Sockets // used in place of new ones at Listen; nil: none
	// Intake holds the connections of other instances to limits; nil: there are none.
	Intake  func(net.Listener) net.Listener
	Address string // address at which other instances reach this one
	Fleet   *Fleet
	Crashes *rlbcrash.Evidence             // merges the records that other instances publish
	Learn   func([]rlborigin.Announcement) // remembers streams that other instances have begun to relay
	Quotas  *rlbquota.Limiter              // gets the usages that other instances publish; nil: none
	// Leavings learns of incarnations of endpoints that drain or whose entries were removed.
	Leavings func(draining []uint64, removed []rlbdiscovery.Removed)
	Now      func() time.Time
	Handler  Handler
	// Connect opens a connection to an endpoint for another instance; nil: none is opened.
	Connect    func(ctx context.Context, address string) (net.Conn, error)
	MaxTunnels int // open for other instances at a time
	// Digest returns the digest to publish. It is called once for each publication.
	Digest func() Digest
	// Changes returns a number that increases with each change of the instance's load, each
	// stream that it begins to relay and each leaving of an endpoint that it learns of.
	Changes func() uint64
}

// Link exchanges digests, summaries and queries with other instances.
type Link struct {
	log      log.Interface
	fleet    *Fleet
	crashes  *rlbcrash.Evidence
	learn    func([]rlborigin.Announcement)
	quotas   *rlbquota.Limiter
	leavings func(draining []uint64, removed []rlbdiscovery.Removed)
	now      func() time.Time
	address  string // address of this instance
	packets  Datagrams
	listener net.Listener
	handler  Handler
	connect  func(ctx context.Context, address string) (net.Conn, error)
	tunnels  atomic.Int64 // open for other instances
	// maxTunnels is the limit of tunnels: other queries need connections too.
	maxTunnels int64
	digest     func() Digest
	changes    func() uint64
	limiter    digestLimiter
}

// NewLink listens for datagrams and connections. It returns the link and a function
// that closes it.
func NewLink(opts LinkOpts) (*Link, func(), error) {
	sockets, err := opts.Sockets, error(nil)
	if sockets == nil {
		sockets, err = listen(opts.Listen)
	}
	if err != nil {
		return nil, nil, err
	}
	packets, listener := sockets.Datagrams, sockets.Listener
	if opts.Intake != nil {
		listener = opts.Intake(listener)
	}
	l := &Link{log: opts.Log, address: opts.Address, fleet: opts.Fleet, crashes: opts.Crashes, learn: opts.Learn, quotas: opts.Quotas, leavings: opts.Leavings, now: opts.Now, packets: packets, listener: listener, handler: opts.Handler, connect: opts.Connect, maxTunnels: int64(opts.MaxTunnels), digest: opts.Digest, changes: opts.Changes}
	go l.receive()
	return l, func() {
		_ = packets.Close()
		_ = listener.Close()
	}, nil
}

// listen opens sockets for datagrams and connections at one address.
func listen(address string) (*Sockets, error) {
	udpAddress, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}
	packets, err := net.ListenUDP("udp4", udpAddress)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, errors.Join(err, packets.Close())
	}
	return &Sockets{packets, listener}, nil
}

// Run answers queries and publishes the digest, and the domain's summary if this
// instance is the delegate of its domain, until ctx ends. It then publishes once more.
func (l *Link) Run(ctx context.Context) {
	go l.serve()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		if l.limiter.digestDue(l.now(), l.changes()) {
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

// publish sends the digest to the own domain. The delegate also sends the summary to
// the other domains if one is due.
func (l *Link) publish() {
	d, now := l.digest(), l.now()
	own, others := l.fleet.Targets(now)
	l.limiter.digestSent(now, l.send(packet{Digest: &d}, own, d.Address))
	if l.fleet.IsDelegate(now, func(other Digest) bool { return !other.Draining }) && l.limiter.summaryDue(now) {
		summary := l.fleet.Summarize(now, d)
		if l.quotas != nil {
			usages, known := l.quotas.DomainUsages()
			summary.Quotas, summary.QuotasKnown = NewQuotaUsages(usages), known
		}
		l.send(packet{Summary: &summary}, others, d.Address)
	}
}

// send sends a datagram to all targets except one. It returns the number of bytes for
// all targets.
func (l *Link) send(p packet, targets []string, except string) int {
	encoded, err := encodePacket(p)
	return l.sendEncoded(encoded, err, targets, except)
}

// sendEncoded sends an encoded datagram like send; err is that of its encoding.
func (l *Link) sendEncoded(encoded []byte, err error, targets []string, except string) int {
	if err != nil {
		l.log.WithError(err).Error("failed to encode a message to other instances")
		return 0
	}
	for _, target := range targets {
		if target == except {
			continue
		}
		at, err := netip.ParseAddrPort(target)
		if err != nil {
			l.log.WithError(err).WithField("target", target).Warn("failed to parse the address of an instance")
			continue
		}
		// Errors are ignored: the next message replaces a datagram that is not sent.
		_, _ = l.packets.WriteToUDPAddrPort(encoded, at)
	}
	return len(encoded) * len(targets)
}

// receive applies datagrams until the socket is closed.
func (l *Link) receive() {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := l.packets.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			l.log.WithError(err).Warn("failed to receive a message from another instance")
			continue
		}
		p, err := decodePacket(buffer[:n])
		if err != nil {
			l.log.WithError(err).Warn("failed to decode a message from another instance")
			continue
		}
		l.apply(p)
	}
}

// apply applies a received digest or summary, and relays a summary within the own domain.
func (l *Link) apply(p packet) {
	now := l.now()
	l.mergeRecords(now, p)
	l.applyQuotas(p)
	if d := p.Digest; d != nil && l.fleet.ApplyDigest(now, *d) {
		l.log.WithFields(log.Fields{"peer": d.Name, "address": d.Address, "life": d.Incarnation}).Info("discovered a new or restarted instance")
	}
	if s := p.Summary; s != nil && l.fleet.ApplySummary(now, *s) {
		l.relaySummary(now, s, p.Forward)
	}
}

// mergeLeavings merges the leavings of endpoints that a message contains.
func (l *Link) mergeLeavings(now time.Time, draining []uint64, removed []RemovedEndpoint) {
	if len(draining)+len(removed) > 0 {
		l.leavings(draining, decodeRemovedEndpoints(now, removed))
	}
}

// mergeRecords merges the crash records, the streams and the leavings of a message. Outdated
// messages do no harm.
func (l *Link) mergeRecords(now time.Time, p packet) {
	if d := p.Digest; d != nil {
		l.mergeLeavings(now, d.DrainingEndpoints, d.RemovedEndpoints)
		l.crashes.Merge(decodeCrashRecords(now, p.Digest.Crashes))
		l.learn(decodeBegunStreams(p.Digest.BegunStreams))
	}
	if s := p.Summary; s != nil {
		l.mergeLeavings(now, s.DrainingEndpoints, s.RemovedEndpoints)
		l.crashes.Merge(decodeCrashRecords(now, p.Summary.Crashes))
		l.learn(decodeBegunStreams(p.Summary.BegunStreams))
	}
}

// serve accepts connections until the listener is closed.
func (l *Link) serve() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return // closed at shutdown
		}
		go l.serveQuery(conn)
	}
}

// Tunnels returns the number of connections that are open for other instances.
func (l *Link) Tunnels() int64 { return l.tunnels.Load() }

// serveQuery answers the one query of a connection.
func (l *Link) serveQuery(raw net.Conn) {
	conn := rlbwire.NewConn(raw, queryTimeout)
	defer func() { _ = conn.Close() }()
	frame, err := conn.Receive()
	if err != nil {
		return // the sender closed the connection or sent no query in time
	}
	var q Query
	if err := frame.Decode(&q); err != nil {
		l.log.WithError(err).Warn("failed to decode a query of another instance")
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	if q.Connect != nil {
		l.serveTunnel(ctx, raw, conn, frame.Call, *q.Connect)
		return
	}
	if err := conn.Send(frameReply, frame.Call, l.handler(ctx, q)); err != nil {
		l.log.WithError(err).Debug("failed to send the reply to a query")
	}
}

// Query sends a query to the instance at address and returns its reply.
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
