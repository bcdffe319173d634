// Command kit-3 plays the cases of the third review that are scripts. It starts entry
// hosts as separate processes, and is itself the store, the upstreams and the clients.
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit statuses.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// cases are the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(d *deployment, trouble bool) (broken bool, err error){
	"pipelined-stop":      pipelinedStop,
	"many-fields":         manyFields,
	"late-readers":        lateRead,
	"pipelined-downloads": pipelinedDownloads,
}

func main() { os.Exit(run()) }

func run() int {
	program := flag.String("program", "target/wisteriapond", "the program of an entry host")
	recordFile := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	flag.Parse()
	play, known := cases[flag.Arg(0)]
	if !known {
		return fail(fmt.Errorf("no case %q", flag.Arg(0)))
	}
	r, err := openRecord(*recordFile)
	if err != nil {
		return fail(err)
	}
	d, err := newDeployment(r, *program)
	if err != nil {
		return fail(err)
	}
	broken, err := play(d, os.Getenv("TROUBLE") != "0")
	d.close()
	switch {
	case err != nil:
		r.add("the case could not run: %v", err)
	case broken:
		r.add("the rule was broken")
	default:
		r.add("the rule held")
	}
	if closeErr := r.close(); err == nil {
		err = closeErr
	}
	switch {
	case err != nil:
		return fail(err)
	case broken:
		return ruleBroken
	}
	return ruleHeld
}

func fail(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return notRun
}
