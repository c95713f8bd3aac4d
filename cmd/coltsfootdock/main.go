// Command coltsfootdock is a layer-4 load balancer. It holds the entry daemon
// and the operators' commands.
package main

import (
	"os"

	"coltsfootdock/cmd/coltsfootdock/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
