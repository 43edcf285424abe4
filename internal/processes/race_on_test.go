//go:build race

package processes

// raceFlags makes the programs be built with the race detector, like the test.
var raceFlags = []string{"-race"}
