package membership

import "github.com/redwingnotch/redwingnotch/fleet"

// RunOf returns the first incarnation of the run that the incarnation belongs
// to. It stays the same while a node refutes its death.
func RunOf(i fleet.Incarnation) fleet.Incarnation {
	return i >> refutationBits << refutationBits
}
