//go:build review

// Command lab2 plays the cases of the second review: a small deployment on loopback
// addresses with the project's entry daemons as separate processes, and stand-ins of the
// store, the routers, the backends and the clients in this process.
//
// It exits with 1 if the case's rule was broken, 0 if it held and 2 if the case couldn't
// run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// timeLimit ends a case that takes too long.
const timeLimit = 110 * time.Second

// cases are the cases by name. Each returns whether its rule was broken.
var cases = map[string]func(l *lab, trouble bool) (bool, error){
	"foreign": playForeign,
	"outage":  playOutage,
	"stale":   playStale,
	"backoff": playBackoff,
	"copies":  playCopies,
}

func main() {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "lab2: no such case:", *name)
		os.Exit(exitFailed)
	}
	l, err := newLab(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "lab2:", err)
		os.Exit(exitFailed)
	}
	os.Exit(run(l, *name, play))
}

// run plays a case and ends all processes that it started.
func run(l *lab, name string, play func(l *lab, trouble bool) (bool, error)) int {
	trouble := os.Getenv("TROUBLE") != "0"
	l.logf("case %s, trouble: %t", name, trouble)
	type result struct {
		broken bool
		err    error
	}
	ended := make(chan result, 1)
	go func() {
		broken, err := play(l, trouble)
		ended <- result{broken, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	r := result{err: fmt.Errorf("the case did not end")}
	select {
	case r = <-ended:
	case <-stop:
		r.err = fmt.Errorf("the case was stopped")
	case <-time.After(timeLimit):
	}
	code := exitHeld
	switch {
	case r.err != nil:
		l.logf("the case couldn't run: %s", r.err)
		code = exitFailed
	case r.broken:
		l.logf("result: the rule is broken")
		code = exitBroken
	default:
		l.logf("result: the rule held")
	}
	l.close()
	return code
}
