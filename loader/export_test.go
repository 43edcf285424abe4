package loader

// Compared returns how many servers were compared to value copies of models, since New.
func (c *Core) Compared() int { return c.compared }
