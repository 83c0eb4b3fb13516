package rlbcontrol

import (
	"context"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlblink"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbmember"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbsettings"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbworld"
)

// peer is the link to another controller.
type peer struct {
	client *rlblink.Client
	close  func()
}

// linkPeers keeps a link to each known controller; c.mu is held.
func (c *Controller) linkPeers(ctx context.Context) {
	wanted := rlbmember.Peers(c.world, c.id, c.Settings.List(rlbsettings.ControllerPeers))
	delete(wanted, c.Address)
	for address := range wanted {
		if _, linked := c.peers[address]; !linked {
			c.peers[address] = c.newPeer(ctx, address)
		}
	}
	for address, p := range c.peers {
		if _, keep := wanted[address]; !keep {
			delete(c.peers, address)
			c.spawn(p.close)
		}
	}
}

func (c *Controller) newPeer(ctx context.Context, address string) *peer {
	client, closeClient := rlblink.NewClient(ctx, rlblink.ClientOpts{
		Log:       c.Log,
		Dial:      c.Dial,
		Node:      rlbworld.NodeKey{Type: rlbworld.NodeController, ID: c.id},
		Scope:     rlbworld.ScopeOwn,
		Addresses: func() []string { return []string{address} },
		Update:    c.merge,
		Report:    func() rlbworld.Update { return rlbworld.Update{} },
		Silence:   silence,
	})
	return &peer{client, closeClient}
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
