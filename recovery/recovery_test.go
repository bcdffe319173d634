package recovery_test

import (
	"errors"
	"testing"

	"wisteriapond/recovery"
)

// Guards against a panic that ends the process, and against an error that is lost
// when there is no panic.
func TestToError(t *testing.T) {
	failing := errors.New("failed")
	run := func(work func() error) (err error) {
		defer recovery.ToError(&err)
		return work()
	}
	if err := run(func() error { return failing }); err != failing {
		t.Errorf("got %v, want the error of the function", err)
	}
	var fault *recovery.PanicError
	if err := run(func() error { panic("odd") }); !errors.As(err, &fault) || fault.Value != "odd" {
		t.Errorf("got %v, want the panic", err)
	}
}
