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

// Objects of claims: the head of each shard, and its sealed segments.
const (
	claimKind   = "rlb-claim"
	segmentKind = "rlb-claim-segment"
)

// claimTimeout is the longest time that a claim waits for its write.
const claimTimeout = 3 * time.Second

// methodShard is the call by which one controller asks another for its shard.
const methodShard rlblink.Method = "shard"

// methods returns the calls that this controller answers.
func (c *Controller) methods() map[rlblink.Method]func(context.Context, []byte) (any, error) {
	return map[rlblink.Method]func(context.Context, []byte) (any, error){
		rlbclaim.MethodClaim: c.answerClaim,
		methodShard:          c.answerShard,
	}
}

// answerClaim carries out a gateway's operation at the shard's owner. When the
// owner cannot be reached, it is carried out here: conditional writes keep two
// controllers from granting the same key.
func (c *Controller) answerClaim(ctx context.Context, body []byte) (any, error) {
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

func (c *Controller) answerShard(ctx context.Context, body []byte) (any, error) {
	var op rlbclaim.Operation
	if err := rlbmsgpack.Unmarshal(body, &op); err != nil {
		return nil, fmt.Errorf("decode operation: %w", err)
	}
	return c.runClaim(ctx, op), nil
}

// shardOwner returns the link to the owner of a shard, or nil if that is this
// controller.
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
	return shards[op.Entry.Key.Shard(len(shards))].do(ctx, op)
}

// shardCountKey is the object that holds the number of shards. The first
// controller of all writes its setting there; every other keeps to it, since a
// key that two instances look for in different shards could run twice.
var shardCountKey = rlbobject.Key{Kind: claimKind, Name: "count"}

// claimShards returns the shards, whose number it reads once.
func (c *Controller) claimShards(ctx context.Context) ([]*shard, error) {
	c.mu.Lock()
	shards := c.shards
	c.mu.Unlock()
	if shards != nil {
		return shards, nil
	}
	count, err := c.readShardCount(ctx)
	if err != nil {
		c.Log.WithError(err).Warn("the number of claim shards cannot be read")
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
	wanted := c.Settings.Int(rlbsettings.ControllerClaimShards)
	object, err := c.Objects.Get(ctx, shardCountKey)
	if rlbobject.Is(err, rlbobject.KindNotFound) {
		// Whether this write or another's came first, the next reading tells.
		_, _ = c.Objects.Put(ctx, shardCountKey, []byte(strconv.Itoa(wanted)), 0)
		object, err = c.Objects.Get(ctx, shardCountKey)
	}
	if err != nil {
		return 0, err
	}
	count, err := strconv.Atoi(string(object.Value))
	if err != nil || count < 1 {
		return 0, fmt.Errorf("%s holds %q", shardCountKey, object.Value)
	}
	if count != wanted {
		c.Log.WithField("in_force", count).WithField("setting", wanted).Warn("claim_shards differs from what the fleet keeps to; the setting is not used")
	}
	return count, nil
}

// shard carries the writes of one shard's ledger out. It runs only while
// operations wait.
type shard struct {
	c       *Controller
	name    string
	window  time.Duration // between two writes
	mu      sync.Mutex
	ledger  *rlbclaim.Ledger
	waiting map[rlbclaim.Ticket]chan rlbclaim.Result
	next    rlbclaim.Ticket
	running bool
	wrote   time.Time
}

func newShard(c *Controller, number int) *shard {
	return &shard{
		c: c, name: strconv.Itoa(number),
		window:  c.Settings.Duration(rlbsettings.ControllerClaimCommit),
		ledger:  rlbclaim.NewLedger(strconv.FormatInt(c.epoch, 36)+"-"+c.id, number),
		waiting: map[rlbclaim.Ticket]chan rlbclaim.Result{},
	}
}

// do submits an operation and waits for its result.
func (s *shard) do(ctx context.Context, op rlbclaim.Operation) rlbclaim.Result {
	result := make(chan rlbclaim.Result, 1)
	s.mu.Lock()
	s.next++
	ticket := s.next
	s.waiting[ticket] = result
	s.ledger.Submit(ticket, op)
	if !s.running {
		s.running = true
		s.c.spawn(s.run)
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

// run writes until no operation waits.
func (s *shard) run() {
	deadline := time.Now().Add(claimTimeout)
	for {
		s.mu.Lock()
		if s.ledger.Pending() == 0 {
			s.running = false
			s.mu.Unlock()
			return
		}
		pause := time.Until(s.wrote.Add(s.window))
		s.mu.Unlock()
		time.Sleep(pause) // lets others share the write
		if s.round() {
			deadline = time.Now().Add(claimTimeout)
		} else if time.Now().After(deadline) {
			s.giveUp()
			deadline = time.Now().Add(claimTimeout)
		}
	}
}

// round loads the shard or makes one write, and reports whether that worked.
func (s *shard) round() bool {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	s.mu.Lock()
	loaded := s.ledger.Loaded()
	s.mu.Unlock()
	if !loaded && !s.load(ctx) {
		time.Sleep(s.window)
		return false
	}
	s.mu.Lock()
	write, err := s.ledger.NextWrite(time.Now().Unix())
	s.deliver()
	s.mu.Unlock()
	if err != nil {
		s.c.Log.WithError(err).Error("claims")
		return false
	}
	return write == nil || s.write(ctx, write)
}

func (s *shard) giveUp() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.AbortPending()
	s.deliver()
}

// deliver hands results to those who wait; s.mu is held.
func (s *shard) deliver() {
	for _, done := range s.ledger.Completions() {
		if result, waits := s.waiting[done.Ticket]; waits {
			result <- done.Result
			delete(s.waiting, done.Ticket)
		}
	}
}

// load reads the shard's head and segments.
func (s *shard) load(ctx context.Context) bool {
	var head rlbclaim.Head
	object, err := s.c.Objects.Get(ctx, rlbobject.Key{Kind: claimKind, Name: s.name})
	if err != nil && !rlbobject.Is(err, rlbobject.KindNotFound) {
		return false
	}
	if err == nil {
		if err := rlbmsgpack.Unmarshal(object.Value, &head); err != nil {
			s.c.Log.WithError(err).Error("claims cannot be read")
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
		object, err := s.c.Objects.Get(ctx, rlbobject.Key{Kind: segmentKind, Name: segment.Name})
		if err != nil {
			return nil, false
		}
		var entries []rlbclaim.Entry
		if err := rlbmsgpack.Unmarshal(object.Value, &entries); err != nil {
			s.c.Log.WithError(err).Error("claims cannot be read")
			return nil, false
		}
		all = append(all, entries...)
	}
	return all, true
}

func (s *shard) write(ctx context.Context, w *rlbclaim.Write) bool {
	version, err := rlbobject.Version(0), error(nil)
	if w.Segment != nil {
		_, err = s.c.Objects.Put(ctx, rlbobject.Key{Kind: segmentKind, Name: w.Segment.Name}, w.Segment.Value, 0)
		if rlbobject.Is(err, rlbobject.KindConflict) {
			err = nil // an earlier try created it
		}
	}
	if err == nil {
		version, err = s.c.Objects.Put(ctx, rlbobject.Key{Kind: claimKind, Name: s.name}, w.Head, w.IfVersion)
	}
	s.mu.Lock()
	s.wrote = time.Now()
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
		s.drop(ctx, w.ObsoleteSegments)
	}
	return err == nil || rlbobject.Is(err, rlbobject.KindConflict)
}

// drop deletes segments whose entries are past their deadline. One that is
// left behind is garbage that nothing names.
func (s *shard) drop(ctx context.Context, names []string) {
	for _, name := range names {
		key := rlbobject.Key{Kind: segmentKind, Name: name}
		if object, err := s.c.Objects.Get(ctx, key); err == nil {
			_ = s.c.Objects.Delete(ctx, key, object.Version)
		}
	}
}
