package membership

import "github.com/redwingnotch/redwingnotch/fleet"

// FirstIncarnation returns the first incarnation of the process run that i belongs to. It
// does not change when the node refutes a suspicion or its death.
func FirstIncarnation(i fleet.Incarnation) fleet.Incarnation {
	return i >> refutationBits << refutationBits
}
