package eventlog

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"

	"wisteriapond/core"
)

// step is one line of the output of a replay.
type step struct {
	At      core.Instant `json:"at"`
	Event   string       `json:"event"`
	Effects []effect     `json:"effects"`
}

type effect struct {
	Type   string      `json:"type"`
	Effect core.Effect `json:"effect"`
}

// Replay applies the events of a log to a new state of the reducer and writes
// the effects of each event as one line of JSON.
func Replay(source io.Reader, out io.Writer) error {
	reader, err := NewReader(source)
	if err != nil {
		return err
	}
	state := core.New()
	var effects core.Effects
	for {
		at, event, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("replay stopped after %d records: %w", reader.records, err)
		}
		effects.Reset()
		state.Step(at, event, &effects)
		if err := WriteStep(out, at, event, effects.All()); err != nil {
			return err
		}
	}
}

// WriteStep writes an event's type and instant and the effects of its step as
// one line of JSON.
func WriteStep(out io.Writer, at core.Instant, event core.Event, effects []core.Effect) error {
	line := step{At: at, Event: typeName(event), Effects: make([]effect, 0, len(effects))}
	for _, e := range effects {
		line.Effects = append(line.Effects, effect{Type: typeName(e), Effect: e})
	}
	if err := json.NewEncoder(out).Encode(line); err != nil {
		return &Error{Reason: "effects of " + line.Event + " cannot be written", Err: err}
	}
	return nil
}

func typeName(value any) string {
	name := reflect.TypeOf(value).String()
	return name[strings.LastIndexByte(name, '.')+1:]
}
