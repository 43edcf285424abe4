// Package processes holds tests that run the built programs as separate processes
// on loopback. They kill, freeze and stop daemons by process ID and apply release
// notes with rwnctl. The stand-ins for the object API, the engines and a plain
// service run in the test process, so a test can check the system's guarantees
// against what they recorded.
//
// TestStreamsTakenUpStayInOrder runs the entry nodes of the users' platform, with model
// servers that are processes, too. Its flags run more seeds, a longer time or the entry nodes of
// another build:
//
//	go test ./internal/processes -run TestStreamsTakenUp -v -timeout 2h -stream-seeds 50 -stream-for 1m -front-program PATH
package processes
