//go:build review

package main

import (
	"fmt"
	"os"
)

// cases are the cases by name. Each returns an exit code.
var cases = map[string]func(rec *recorder, trouble bool) (int, error){
	"full":       runFull,
	"cold":       runCold,
	"foreign":    runForeign,
	"unreadable": runUnreadable,
	"unborn":     runUnborn,
	"alone":      runAlone,
	"restart":    runRestart,
	"frozen":     runFrozen,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE RECORD")
		os.Exit(exitCannot)
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannot)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.logf("case %s, disruption %t", os.Args[1], trouble)
	code, err := cases[os.Args[1]](rec, trouble)
	if err != nil {
		rec.say("could not run: %s", err)
		code = exitCannot
	}
	rec.logf("exit code %d", code)
	os.Exit(code)
}
