//go:build race

package processes

// raceFlags build the programs with the race detector, as the test itself is.
var raceFlags = []string{"-race"}
