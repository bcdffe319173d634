package backend

import "errors"

// Errors of this layer. They are turned into outcome.Facts before they leave
// the package.
var (
	errExpired     = errors.New("command expired before the first byte")
	errTruncated   = errors.New("answer ended before its whole body")
	errIdleUnknown = errors.New("idle connection has unread bytes or is closed")
)
