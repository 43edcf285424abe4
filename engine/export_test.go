package engine

// SkipRequestIDCheck makes the client accept responses to other requests.
func (c *Client) SkipRequestIDCheck() { c.skipRequestIDCheck = true }
