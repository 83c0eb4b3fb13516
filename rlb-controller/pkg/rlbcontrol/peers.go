package rlbcontrol

import (
	"context"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfleetstate"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlblink"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbmembership"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbsettings"
)

// peer is the link to another controller.
type peer struct {
	client *rlblink.Client
	scope  rlbfleetstate.Scope
	close  func()
}

// linkPeers opens links to new peers and closes those to removed ones; c.mu is
// held.
func (c *Controller) linkPeers(ctx context.Context) {
	wanted := rlbmembership.Peers(c.fleet, c.membership.Self, c.Settings.List(rlbsettings.ControllerPeers))
	for address, scope := range wanted {
		if _, linked := c.peers[address]; !linked {
			c.peers[address] = c.newPeer(ctx, address, scope)
		}
	}
	for address, p := range c.peers {
		if scope, keep := wanted[address]; !keep || scope != p.scope {
			delete(c.peers, address)
			c.spawn(p.close)
		}
	}
}

func (c *Controller) newPeer(ctx context.Context, address string, scope rlbfleetstate.Scope) *peer {
	origin := rlbfleetstate.OriginSameDomain
	if scope == rlbfleetstate.ScopeOtherDomain {
		origin = rlbfleetstate.OriginOtherDomain
	}
	client, closeClient := rlblink.NewClient(ctx, rlblink.ClientOpts{
		Log:            c.Log,
		Dial:           c.Dial,
		Process:        rlbfleetstate.ProcessKey{Type: rlbfleetstate.ProcessController, ID: c.id},
		Scope:          scope,
		Addresses:      func() []string { return []string{address} },
		ApplyUpdate:    func(u rlbfleetstate.Update) { c.applyPeerUpdate(u, origin) },
		BuildReport:    func() rlbfleetstate.Update { return rlbfleetstate.Update{} },
		ReportInterval: ControllerUpdateInterval,
		IdleTimeout:    heartbeatTimeout,
	})
	return &peer{client, scope, closeClient}
}

func (c *Controller) closePeers() {
	c.mu.Lock()
	peers := c.peers
	c.peers = map[string]*peer{}
	c.mu.Unlock()
	for _, p := range peers {
		p.close()
	}
}
