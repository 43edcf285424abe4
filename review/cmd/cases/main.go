// Command cases runs one case of the review: cases N, in the case's folder. It exits with 1 if
// the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/redwingnotch/redwingnotch/review/lab"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// longestCase is the time after which a case has failed to run.
const longestCase = 100 * time.Second

// cases are the cases by name. Each returns what broke the rule.
var cases = map[string]func(program, record string) ([]string, error){
	"withdrawn-adapter":    withdrawnAdapter,
	"replaced-model":       replacedModel,
	"leaving-after-outage": leavingAfterOutage,
	"rejoined":             rejoined,
	"crashing-request":     crashingRequest,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME FOLDER")
		return exitFailed
	}
	// A case that hangs, or is stopped, must leave no process behind.
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stop:
		case <-time.After(longestCase):
		}
		lab.KillAll()
		os.Exit(exitFailed)
	}()
	self, err := os.Executable()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	broken, err := cases[os.Args[1]](filepath.Join(filepath.Dir(self), "redwingnotch"), filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if len(broken) == 0 {
		fmt.Println("the rule held")
		return exitHeld
	}
	for _, b := range broken {
		fmt.Println("BROKEN:", b)
	}
	return exitBroken
}
