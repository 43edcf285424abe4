// Package processes holds tests that run the built programs as separate processes
// on loopback. They kill, freeze and stop daemons by process ID and apply release
// notes with rwnctl. The stand-ins for the object API, the engines and a plain
// service run in the test process, so a test can check the system's guarantees
// against what they recorded.
package processes
