// Package processes holds tests that run the built programs as separate
// processes on loopback: daemons are killed, frozen and stopped by process id,
// and operators' notes go through the operators' tool. The stand-ins run in the
// test's own process, so that a test compares the promises with what they did.
package processes
