package policybench

import (
	"github.com/redwingnotch/redwingnotch/keepwarm"
)

// Names of the compared policies.
const (
	PolicyNaive   = "naive"     // FIFO admission, fixed keep time of ten minutes, random placement
	PolicyFixed   = "fixed-10m" // as redwing, but with a fixed keep time of ten minutes
	PolicyRedwing = "redwing"   // all of the project's policies
)

// ComparedPolicies returns the policies to compare for a deployment, the baseline first.
// The policies are stateful, so each run needs new ones.
func ComparedPolicies(d Deployment) []Policies {
	naive := d.Admission
	naive.FIFO = true
	return []Policies{
		{Name: PolicyNaive, Admission: naive, Retention: keepwarm.FixedTenMinutes, Loader: newNaiveLoader},
		{Name: PolicyFixed, Admission: d.Admission, Retention: keepwarm.FixedTenMinutes, Loader: newControllerLoader, Quarantine: true},
		{Name: PolicyRedwing, Admission: d.Admission, Retention: keepwarm.New(d.KeepWarm), Loader: newControllerLoader, Quarantine: true},
	}
}
