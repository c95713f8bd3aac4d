// Command standin runs stand-ins for the systems around coltsfootdock: clients,
// the fabric, targets and the platform. It also runs whole test systems.
package main

import (
	"os"

	"coltsfootdock/cmd/standin/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
