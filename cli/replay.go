package cli

import (
	"bufio"
	"io"
	"os"

	"wisteriapond/eventlog"
)

type replayCommand struct {
	File string `arg:"" type:"existingfile" help:"File with the recorded events of an entry host."`
}

// Help is shown by "replay --help".
func (*replayCommand) Help() string {
	return `A process records its events if the setting record.file is set.

Example:
  wisteriapond replay events`
}

// Run prints the effects of each recorded event. The output of every run is
// identical, byte for byte.
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
