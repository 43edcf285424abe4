// Command review-trial runs the scripted cases of the second review. Each subcommand starts entry
// nodes as separate processes, with the command of the deploy file, beside stand-ins for the
// platform's store, backend servers and callers, and checks one rule by what the stand-ins see.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the cases by subcommand, which their files add. Each returns whether the rule held.
var cases = map[string]func(*trial) (bool, error){}

func main() {
	if len(os.Args) == 3 && os.Args[1] == serveCommand {
		serveUnframed(os.Args[2])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-trial CASE FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

// run runs a case, writes its record into the folder and returns the exit code.
func run(runCase func(*trial) (bool, error), folder string) int {
	t, err := newTrial(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer t.close()
	held, err := runCase(t)
	switch {
	case err != nil:
		t.record("the case could not run: %v", err)
		return exitFailed
	case held:
		t.record("result: the rule held")
		return exitHeld
	}
	t.record("result: the rule was broken")
	return exitBroken
}
