package loader

import "time"

// planOverloaded plans further copies of models whose copies can't carry their demand, at servers
// that have them on disk. They come before models that requests wait for: a load for those serves
// the few that wait, a copy of a busy model serves all that exceed what the others carry. While
// many rare models are asked for, no server is left for the copies that are planned last. Copies
// that would need the weight store stay behind, as those who wait need it as well.
func (c *Core) planOverloaded(now time.Time) {
	for _, name := range c.underReplicated(now) {
		held := c.copyCount(now, name)
		if held == 0 || c.demand.total(now, name) <= float64(held)*c.copyRate() || !c.onAnyDisk(name) {
			continue
		}
		if choice, ok := c.cheapestServer(now, c.models[name], "", nil); ok && choice.server.sourceOf(name) != fromStore {
			c.planCopy(now, name, c.modelTally(now, name).worth*extraCopyWeight)
		}
	}
}

// onlySlowCopy reports whether no server has the model and all pending loads of it read from the
// weight store. A server that has it on disk is then ready much earlier, such as one that has
// restarted since these loads began.
func (c *Core) onlySlowCopy(now time.Time, model string) bool {
	copies := c.copyCount(now, model)
	return copies > 0 && c.counted().slow[model] == copies
}
