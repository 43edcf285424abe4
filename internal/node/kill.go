package node

// Kill ends the node at once, as a crash does: nothing is finished or announced.
// It is for programs that bring about failures.
func (n *Node) Kill() {
	n.halt()
	n.closeListeners()
}
