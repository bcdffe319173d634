// Command reviewkit2 runs the cases of the second review. Each starts entry hosts as
// processes of their own, between stand-ins of the platform, of backend servers and of
// callers on loopback addresses.
package main

import (
	"fmt"
	"os"
)

// Exit statuses of a case.
const (
	held    = 0
	broken  = 1
	notRun  = 2
	usage   = "reviewkit2 CASE NAMES PROGRAM TEMPORARY-FOLDER RECORD"
	numArgs = 6
)

var cases = map[string]func(*run) int{
	"stalled":  stalled,
	"promised": promised,
	"slowbody": slowBody,
}

func main() {
	if len(os.Args) != numArgs || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, usage)
		os.Exit(notRun)
	}
	n, err := readNames(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	r := &run{names: &n, program: os.Args[3], dir: os.Args[4], recordFile: os.Args[5], trouble: os.Getenv("TROUBLE") != "0"}
	os.Exit(r.do(cases[os.Args[1]]))
}
