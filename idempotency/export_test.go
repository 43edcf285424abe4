package idempotency

// ForgetRun makes the core believe that a key did not run, and keeps its count
// of runs, so that the next run breaks the invariant.
func (c *Core) ForgetRun(key Key) { c.keys[key].state = keyHeld }
