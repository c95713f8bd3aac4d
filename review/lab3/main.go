//go:build review

// Command lab3 runs the cases of review/REPORT-3.md that are scripts: daemons as processes
// by the command of the deploy file, with a store, backends, routers and clients of its own
// on loopback addresses.
//
// Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
)

func main() {
	name := flag.String("case", "", "name of the case")
	out := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	run := cases[*name]
	if run == nil {
		fmt.Fprintf(os.Stderr, "lab3: no case %q\n", *name)
		os.Exit(2)
	}
	err := runCase(run, *out, os.Getenv("TROUBLE") != "0")
	switch {
	case err == nil:
		fmt.Println("the rule held")
	case errors.Is(err, errBroken):
		fmt.Println(err)
		os.Exit(1)
	default:
		fmt.Fprintln(os.Stderr, "lab3:", err)
		os.Exit(2)
	}
}
