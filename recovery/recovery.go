// Package recovery turns a panic of a goroutine that handles bytes from outside the
// process into an error, so that one malformed message does not end the process.
package recovery

import "fmt"

// PanicError reports a recovered panic.
type PanicError struct {
	// Value is the value that was passed to panic.
	Value any
}

func (e *PanicError) Error() string { return fmt.Sprintf("recovered from a panic: %v", e.Value) }

// ToError stores a panic of the calling function in err. It must be deferred
// directly.
func ToError(err *error) {
	if value := recover(); value != nil {
		*err = &PanicError{Value: value}
	}
}
