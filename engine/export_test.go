package engine

// SkipEchoCheck makes the client accept answers of other requests.
func (c *Client) SkipEchoCheck() { c.skipEchoCheck = true }
