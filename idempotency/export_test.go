package idempotency

// ForgetRun resets the state of a key to "not run" without resetting its run
// counter, so that the next run violates the at-most-once invariant.
func (c *Core) ForgetRun(key Key) { c.keys[key].state = keyNotRun }
