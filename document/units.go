package document

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Duration is a duration with its unit in the file, such as "250ms".
type Duration time.Duration

// UnmarshalJSON reads a quoted duration. A bare number has no unit and is
// refused.
func (d *Duration) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return fmt.Errorf("a duration needs quotes and a unit, such as \"250ms\", got %s", raw)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("invalid duration %q", text)
	}
	*d = Duration(parsed)
	return nil
}

// Size is a number of bytes with its unit in the file, such as "64KiB".
type Size int64

var sizeUnits = []struct {
	suffix string
	bytes  int64
}{
	{"KiB", 1 << 10},
	{"MiB", 1 << 20},
	{"GiB", 1 << 30},
	{"kB", 1e3},
	{"MB", 1e6},
	{"GB", 1e9},
	{"B", 1},
}

// UnmarshalJSON reads a quoted size. A bare number has no unit and is refused.
func (s *Size) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return fmt.Errorf("a size needs quotes and a unit, such as \"64KiB\", got %s", raw)
	}
	for _, unit := range sizeUnits {
		digits, ok := strings.CutSuffix(text, unit.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || n < 0 || n > (1<<62)/unit.bytes {
			break
		}
		*s = Size(n * unit.bytes)
		return nil
	}
	return fmt.Errorf("invalid size %q", text)
}
