package settings

import (
	"fmt"

	"wisteriapond/document"
	"wisteriapond/intake"
)

// Bounds of the limits.
const (
	minMemory      = 8 << 20
	minDescriptors = 64
	maxDescriptors = 1 << 20
	// maxPipelined is the number that intake.AheadBytes allows for.
	maxPipelined     = 16
	defaultPipelined = 8
)

// Limits are the limits that the machine sets to the process. What callers may hold
// follows from them.
type Limits struct {
	// Memory is the size at which the process is ended. Default "0B": it has no limit
	// of its own.
	Memory document.Size `json:"memory"`
	// Descriptors is the number of file descriptors that the process may open. Default
	// intake.DefaultDescriptors.
	Descriptors int `json:"descriptors"`
	// Pipelined is the number of requests of one caller's connection that run side by
	// side. Default 8; 1 runs them one after the other.
	Pipelined int `json:"pipelined"`
}

// Intake returns the limits as the decisions on callers take them.
func (l Limits) Intake() intake.Limits {
	return intake.Limits{Memory: int64(l.Memory), Descriptors: l.Descriptors}
}

func (s *Settings) checkLimits(source *document.Source) {
	if m := s.Limits.Memory; m != 0 && m < minMemory {
		source.Report("limits.memory", fmt.Sprintf("must be 0B or at least %d MiB, got %d bytes", minMemory>>20, m))
	}
	if p := s.Limits.Pipelined; p < 1 || p > maxPipelined {
		source.Report("limits.pipelined", fmt.Sprintf("must be between 1 and %d, got %d", maxPipelined, p))
	}
	if d := s.Limits.Descriptors; d < minDescriptors || d > maxDescriptors {
		source.Report("limits.descriptors", fmt.Sprintf("must be between %d and %d, got %d", minDescriptors, maxDescriptors, d))
	}
}
