package rlbintake

// frameConn is a connection that carries messages. It implements rlbwire.Account.
type frameConn struct{ *conn }

// Reserve counts bytes of a message that is being received.
func (c *frameConn) Reserve(bytes int) error {
	if !c.intake.budget.add(c.intake.now(), &c.holder, int64(bytes)*frameByteCost) {
		return ErrNoRoom
	}
	return nil
}

// Received records that a whole message was received. The connection no longer gives way.
func (c *frameConn) Received() error {
	if !c.intake.budget.move(c.intake.now(), &c.holder, phaseServing) {
		return ErrNoRoom
	}
	return nil
}

// Release frees what the messages hold.
func (c *frameConn) Release() { c.intake.budget.release(&c.holder) }
