package cli

import (
	"bufio"
	"io"
	"os"

	"wisteriapond/eventlog"
)

type replayCommand struct {
	File string `arg:"" type:"existingfile" help:"Recording of an entry host."`
}

// Help is shown by "replay --help".
func (*replayCommand) Help() string {
	return `The setting record.file makes a process record its events.

Example:
  wisteriapond replay events`
}

// Run prints the effects of each recorded event. The output is the same, byte
// for byte, on every run.
func (c *replayCommand) Run(stdout io.Writer) error {
	file, err := os.Open(c.File)
	if err != nil {
		return err
	}
	defer file.Close()
	out := bufio.NewWriter(stdout)
	err = eventlog.Replay(file, out)
	if flushErr := out.Flush(); err == nil {
		err = flushErr
	}
	return err
}
