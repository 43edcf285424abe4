//go:build !race

package processes

// raceFlags are empty, as the test itself is built without the race detector.
var raceFlags []string
