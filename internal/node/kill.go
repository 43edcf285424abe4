package node

// Kill stops the node at once, as a crash does: requests in progress are dropped and
// other nodes are not informed. It is for tests and programs that inject faults.
func (n *Node) Kill() {
	n.cancelLoops()
	n.closeListeners()
}
