// Command wisteriapond runs and operates an entry host.
package main

import (
	"os"

	"wisteriapond/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
