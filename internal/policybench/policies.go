package policybench

import (
	"github.com/redwingnotch/redwingnotch/keepwarm"
)

// Names of the policies that are compared.
const (
	PolicyNaive   = "naive"     // arrival order, fixed ten minutes, random placement
	PolicyFixed   = "fixed-10m" // ours with a fixed ten minutes
	PolicyRedwing = "redwing"
)

// Compared returns the policies for a deployment, the baseline first. The
// policies keep state, so each run needs new ones.
func Compared(d Deployment) []Policies {
	naive := d.Admission
	naive.FIFO = true
	return []Policies{
		{Name: PolicyNaive, Admission: naive, Retention: keepwarm.FixedTenMinutes, Loader: newNaiveLoader},
		{Name: PolicyFixed, Admission: d.Admission, Retention: keepwarm.FixedTenMinutes, Loader: newController, Quarantine: true},
		{Name: PolicyRedwing, Admission: d.Admission, Retention: keepwarm.New(d.KeepWarm), Loader: newController, Quarantine: true},
	}
}
