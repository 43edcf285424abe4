//go:build !race

package processes

// raceFlags is empty: the test itself is built without the race detector.
var raceFlags []string
