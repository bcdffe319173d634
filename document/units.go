package document

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Duration is a duration that is written with a unit in a document, such as
// "250ms".
type Duration time.Duration

// UnmarshalJSON parses a quoted duration. A bare number has no unit and is
// refused.
func (d *Duration) UnmarshalJSON(raw []byte) error {
	text, ok := unquote(raw)
	if !ok {
		return fmt.Errorf("a duration needs quotes and a unit, such as \"250ms\", got %s", truncate(string(raw)))
	}
	parsed, err := ParseDuration(text)
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

// String returns the duration with its unit.
func (d Duration) String() string { return time.Duration(d).String() }

// ParseDuration parses a sequence of numbers with units, such as "1h30m". The
// units are "ns", "us", "ms", "s", "m" and "h"; only "0" needs none.
func ParseDuration(text string) (time.Duration, error) {
	if _, err := strconv.ParseFloat(text, 64); err == nil && text != "0" {
		return 0, fmt.Errorf("a duration needs a unit, such as \"250ms\", got %q", truncate(text))
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return 0, fmt.Errorf("invalid duration %q", truncate(text))
	}
	return parsed, nil
}

// Size is a number of bytes that is written with a unit in a document, such as
// "64KiB".
type Size int64

// maxSize keeps sizes well below the maximum of int64, so that the product of a
// number and its unit cannot overflow.
const maxSize = 1 << 62

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

// UnmarshalJSON parses a quoted size. A bare number has no unit and is refused.
func (s *Size) UnmarshalJSON(raw []byte) error {
	text, ok := unquote(raw)
	if !ok {
		return fmt.Errorf("a size needs quotes and a unit, such as \"64KiB\", got %s", truncate(string(raw)))
	}
	parsed, err := ParseSize(text)
	if err != nil {
		return err
	}
	*s = Size(parsed)
	return nil
}

// ParseSize parses a non-negative integer with one of the units "B", "kB", "MB",
// "GB", "KiB", "MiB" and "GiB", and returns the number of bytes.
func ParseSize(text string) (int64, error) {
	for _, unit := range sizeUnits {
		digits, ok := strings.CutSuffix(text, unit.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || n < 0 || n > maxSize/unit.bytes {
			return 0, fmt.Errorf("invalid size %q", truncate(text))
		}
		return n * unit.bytes, nil
	}
	return 0, fmt.Errorf("a size needs a unit, such as \"64KiB\", got %q", truncate(text))
}

func unquote(raw []byte) (string, bool) {
	var text string
	err := json.Unmarshal(raw, &text)
	return text, err == nil
}

// String returns the size with the largest binary unit that divides it.
func (s Size) String() string {
	for _, unit := range []struct {
		suffix string
		bytes  Size
	}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}} {
		if s != 0 && s%unit.bytes == 0 {
			return strconv.FormatInt(int64(s/unit.bytes), 10) + unit.suffix
		}
	}
	return strconv.FormatInt(int64(s), 10) + "B"
}
