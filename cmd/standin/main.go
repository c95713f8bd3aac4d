// Command standin runs the stand-ins for what surrounds coltsfootdock.
package main

import (
	"os"

	"coltsfootdock/cmd/standin/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
