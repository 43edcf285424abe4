package node

// Kill ends the node as a crash does: nothing is finished or announced.
func (n *Node) Kill() {
	n.halt()
	n.closeListeners()
}
