package front

// takeAllowance takes the request's tokens out of its team's allowance. If there are not enough, it
// responds and returns false.
func (x *exchange) takeAllowance() bool { return true }

// receiveAllowance handles a datagram about allowances. It returns false if the datagram is another
// one.
func (n *Node) receiveAllowance([]byte) bool { return false }
