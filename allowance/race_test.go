//go:build race

package allowance_test

// The race detector makes the model ten times slower, and the package starts no goroutine. Runs
// without the detector play all fleets.
func init() { fleets = []fleet{{9, 1}} }
