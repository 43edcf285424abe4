package engine

// SkipEchoCheck makes the client accept responses to other requests.
func (c *Client) SkipEchoCheck() { c.skipRequestIDCheck = true }
