package rlbcontrol

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbclaim"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlblink"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbmembership"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbmsgpack"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbsettings"
)

// Object kinds of claims: the head of each shard, and its sealed segments.
const (
	claimKind   = "rlb-claim"
	segmentKind = "rlb-claim-segment"
)

// claimTimeout limits the time that a claim waits for its write.
const claimTimeout = 3 * time.Second

// methodShard is the call that forwards an operation to the owner of its shard.
const methodShard rlblink.Method = "shard"

// callHandlers returns the handlers of the calls on this controller's links.
func (c *Controller) callHandlers() map[rlblink.Method]func(context.Context, []byte) (any, error) {
	return map[rlblink.Method]func(context.Context, []byte) (any, error){
		rlbclaim.MethodClaim: c.handleClaim,
		methodShard:          c.handleShard,
	}
}

// handleClaim forwards a gateway's operation to the shard's owner. If the owner
// cannot be reached, or is this controller, the operation is run here:
// conditional writes keep two controllers from granting the same key.
func (c *Controller) handleClaim(ctx context.Context, body []byte) (any, error) {
	var op rlbclaim.Operation
	if err := rlbmsgpack.Unmarshal(body, &op); err != nil {
		return nil, fmt.Errorf("decode operation: %w", err)
	}
	shards, err := c.claimShards(ctx)
	if err != nil {
		return rlbclaim.Result{Status: rlbclaim.Unavailable}, nil
	}
	if owner := c.shardOwner(op.Entry.Key.Shard(len(shards))); owner != nil {
		ctx, cancel := context.WithTimeout(ctx, claimTimeout)
		defer cancel()
		var result rlbclaim.Result
		if err := owner.Call(ctx, methodShard, op, &result); err == nil {
			return result, nil
		}
	}
	return c.runClaim(ctx, op), nil
}

func (c *Controller) handleShard(ctx context.Context, body []byte) (any, error) {
	var op rlbclaim.Operation
	if err := rlbmsgpack.Unmarshal(body, &op); err != nil {
		return nil, fmt.Errorf("decode operation: %w", err)
	}
	return c.runClaim(ctx, op), nil
}

// shardOwner returns the link to the owner of a shard. It is nil if the owner is
// this controller or has no link.
func (c *Controller) shardOwner(shard int) *rlblink.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	owner := rlbmembership.Owner("claim/"+strconv.Itoa(shard), rlbmembership.ActiveControllers(c.live, ""))
	for _, member := range c.live {
		if member.ID == owner && owner != c.id {
			if p, linked := c.peers[member.Address]; linked {
				return p.client
			}
		}
	}
	return nil
}

func (c *Controller) runClaim(ctx context.Context, op rlbclaim.Operation) rlbclaim.Result {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	shards, err := c.claimShards(ctx)
	if err != nil {
		return rlbclaim.Result{Status: rlbclaim.Unavailable}
	}
	return shards[op.Entry.Key.Shard(len(shards))].submit(ctx, op)
}

// shardCountKey is the object that stores the number of shards. The fleet's first
// controller writes its setting there, and all others use that number: a key
// that two instances look up in different shards could run twice.
var shardCountKey = rlbobject.Key{Kind: claimKind, Name: "count"}

// claimShards returns the shards. Their number is read on the first call that
// succeeds.
func (c *Controller) claimShards(ctx context.Context) ([]*shard, error) {
	c.mu.Lock()
	shards := c.shards
	c.mu.Unlock()
	if shards != nil {
		return shards, nil
	}
	count, err := c.readShardCount(ctx)
	if err != nil {
		c.Log.WithError(err).Warn("failed to read the number of claim shards")
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(c.shards); i < count; i++ {
		c.shards = append(c.shards, newShard(c, i))
	}
	return c.shards, nil
}

func (c *Controller) readShardCount(ctx context.Context) (int, error) {
	configured := c.Settings.Int(rlbsettings.ControllerClaimShards)
	object, err := c.Objects.Get(ctx, shardCountKey)
	if rlbobject.Is(err, rlbobject.KindNotFound) {
		// The error does not matter: if another controller wrote first, the next
		// read returns its number.
		_, _ = c.Objects.Put(ctx, shardCountKey, []byte(strconv.Itoa(configured)), 0)
		object, err = c.Objects.Get(ctx, shardCountKey)
	}
	if err != nil {
		return 0, err
	}
	count, err := strconv.Atoi(string(object.Value))
	if err != nil || count < 1 {
		return 0, fmt.Errorf("%s holds %q, which is not a positive number of shards", shardCountKey, object.Value)
	}
	if count != configured {
		c.Log.WithField("in_force", count).WithField("setting", configured).Warn("claim_shards differs from the number of shards stored for the fleet; the setting is ignored")
	}
	return count, nil
}

// shard writes the ledger of one shard to the object API. Its goroutine runs only
// while operations are pending.
type shard struct {
	controller     *Controller
	name           string
	commitInterval time.Duration // least time between two writes
	mu             sync.Mutex
	ledger         *rlbclaim.Ledger
	waiting        map[rlbclaim.Ticket]chan rlbclaim.Result
	lastTicket     rlbclaim.Ticket
	running        bool
	lastWrite      time.Time
}

func newShard(c *Controller, number int) *shard {
	return &shard{
		controller: c, name: strconv.Itoa(number),
		commitInterval: c.Settings.Duration(rlbsettings.ControllerClaimCommit),
		ledger:         rlbclaim.NewLedger(strconv.FormatInt(c.startedAt, 36)+"-"+c.id, number),
		waiting:        map[rlbclaim.Ticket]chan rlbclaim.Result{},
	}
}

// submit submits an operation and waits for its result, or for ctx.
func (s *shard) submit(ctx context.Context, op rlbclaim.Operation) rlbclaim.Result {
	result := make(chan rlbclaim.Result, 1)
	s.mu.Lock()
	s.lastTicket++
	ticket := s.lastTicket
	s.waiting[ticket] = result
	s.ledger.Submit(ticket, op)
	if !s.running {
		s.running = true
		s.controller.spawn(s.run)
	}
	s.mu.Unlock()
	select {
	case r := <-result:
		return r
	case <-ctx.Done():
		s.mu.Lock()
		delete(s.waiting, ticket)
		s.mu.Unlock()
		return rlbclaim.Result{Status: rlbclaim.Unavailable}
	}
}

// run writes until no operation is pending. Pending operations are aborted after
// claimTimeout without a successful step.
func (s *shard) run() {
	deadline := time.Now().Add(claimTimeout)
	for {
		s.mu.Lock()
		if s.ledger.Pending() == 0 {
			s.running = false
			s.mu.Unlock()
			return
		}
		pause := time.Until(s.lastWrite.Add(s.commitInterval))
		s.mu.Unlock()
		time.Sleep(pause) // collects further operations for the same write
		if s.step() {
			deadline = time.Now().Add(claimTimeout)
		} else if time.Now().After(deadline) {
			s.abortPending()
			deadline = time.Now().Add(claimTimeout)
		}
	}
}

// step loads the shard if necessary and makes one write. It reports whether both
// succeeded.
func (s *shard) step() bool {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	s.mu.Lock()
	loaded := s.ledger.Loaded()
	s.mu.Unlock()
	if !loaded && !s.load(ctx) {
		time.Sleep(s.commitInterval)
		return false
	}
	s.mu.Lock()
	write, err := s.ledger.NextWrite(time.Now().Unix())
	s.deliver()
	s.mu.Unlock()
	if err != nil {
		s.controller.Log.WithError(err).Error("failed to encode the next write of a claim shard; its operations are dropped")
		return false
	}
	return write == nil || s.write(ctx, write)
}

// abortPending aborts all pending operations and delivers their results.
func (s *shard) abortPending() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.AbortPending()
	s.deliver()
}

// deliver passes the results of completed operations to the calls of submit that
// wait for them; s.mu is held.
func (s *shard) deliver() {
	for _, done := range s.ledger.Completions() {
		if result, waiting := s.waiting[done.Ticket]; waiting {
			result <- done.Result
			delete(s.waiting, done.Ticket)
		}
	}
}

// load reads the shard's head and segments.
func (s *shard) load(ctx context.Context) bool {
	var head rlbclaim.Head
	object, err := s.controller.Objects.Get(ctx, rlbobject.Key{Kind: claimKind, Name: s.name})
	if err != nil && !rlbobject.Is(err, rlbobject.KindNotFound) {
		return false
	}
	if err == nil {
		if err := rlbmsgpack.Unmarshal(object.Value, &head); err != nil {
			s.controller.Log.WithError(err).Error("failed to decode the head of a claim shard")
			return false
		}
	}
	sealed, ok := s.loadSegments(ctx, head)
	if !ok {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Load(object.Version, head, sealed)
	s.deliver()
	return true
}

func (s *shard) loadSegments(ctx context.Context, head rlbclaim.Head) ([]rlbclaim.Entry, bool) {
	var all []rlbclaim.Entry
	for _, segment := range head.Segments {
		object, err := s.controller.Objects.Get(ctx, rlbobject.Key{Kind: segmentKind, Name: segment.Name})
		if err != nil {
			return nil, false
		}
		var entries []rlbclaim.Entry
		if err := rlbmsgpack.Unmarshal(object.Value, &entries); err != nil {
			s.controller.Log.WithError(err).Error("failed to decode a segment of a claim shard")
			return nil, false
		}
		all = append(all, entries...)
	}
	return all, true
}

// write writes a new segment, if any, and the head. It reports true for a
// conflict, too: the object API answered, and the ledger loads the shard again.
func (s *shard) write(ctx context.Context, w *rlbclaim.Write) bool {
	version, err := rlbobject.Version(0), error(nil)
	if w.Segment != nil {
		_, err = s.controller.Objects.Put(ctx, rlbobject.Key{Kind: segmentKind, Name: w.Segment.Name}, w.Segment.Value, 0)
		if rlbobject.Is(err, rlbobject.KindConflict) {
			err = nil // an earlier attempt created it
		}
	}
	if err == nil {
		version, err = s.controller.Objects.Put(ctx, rlbobject.Key{Kind: claimKind, Name: s.name}, w.Head, w.IfVersion)
	}
	s.mu.Lock()
	s.lastWrite = time.Now()
	switch {
	case err == nil:
		s.ledger.WriteSucceeded(version)
	case rlbobject.Is(err, rlbobject.KindUnknown):
		s.ledger.WriteUnanswered()
	default:
		s.ledger.WriteRefused(rlbobject.Is(err, rlbobject.KindConflict))
	}
	s.deliver()
	s.mu.Unlock()
	if err == nil {
		s.deleteSegments(ctx, w.ObsoleteSegments)
	}
	return err == nil || rlbobject.Is(err, rlbobject.KindConflict)
}

// deleteSegments deletes segments whose entries are past their deadline. Failures
// are ignored: a remaining segment is not referenced by any head.
func (s *shard) deleteSegments(ctx context.Context, names []string) {
	for _, name := range names {
		key := rlbobject.Key{Kind: segmentKind, Name: name}
		if object, err := s.controller.Objects.Get(ctx, key); err == nil {
			_ = s.controller.Objects.Delete(ctx, key, object.Version)
		}
	}
}
