package keys

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"
)

const (
	// PollInterval is the time after which a changed file is noticed.
	PollInterval = 10 * time.Second
	// warnBefore is the remaining time from which on the log warns.
	warnBefore = 14 * 24 * time.Hour
	// warnEvery spaces the warnings, so that they do not drown the log.
	warnEvery = 24 * time.Hour
	// expiredEvery spaces the errors about an expired key.
	expiredEvery = time.Hour
)

// Store holds the key in force and replaces it when the files change.
type Store struct {
	files    Files
	log      log.Interface
	now      func() time.Time
	bundle   atomic.Pointer[Bundle]
	failures atomic.Int64
	changed  func()
	warned   time.Time
	refused  string
}

// Open loads the key of a host. A key that has expired is logged and kept: the
// host serves callers alone until the files are replaced.
func Open(files Files, logger log.Interface) (*Store, error) {
	bundle, err := Load(files)
	if err != nil {
		return nil, err
	}
	s := &Store{files: files, log: logger, now: time.Now, changed: func() {}}
	s.bundle.Store(bundle)
	s.checkExpiry()
	return s, nil
}

// OnChange sets what runs after a key was replaced. It must be set before
// Watch runs.
func (s *Store) OnChange(changed func()) { s.changed = changed }

// Current returns the key in force.
func (s *Store) Current() *Bundle { return s.bundle.Load() }

// Remaining returns the time until the key expires; negative after that.
func (s *Store) Remaining() time.Duration { return s.Current().NotAfter.Sub(s.now()) }

// RefusedReloads returns the number of reloads that were refused.
func (s *Store) RefusedReloads() int64 { return s.failures.Load() }

// Watch reloads the files when they change, until ctx is done. It looks every
// interval, and at once when hangup yields.
func (s *Store) Watch(ctx context.Context, interval time.Duration, hangup <-chan struct{}) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-hangup:
		}
		s.reload()
		s.checkExpiry()
	}
}

// reload keeps the key in force when the files cannot be used: they may be
// seen while they are being replaced, one after the other.
func (s *Store) reload() {
	bundle, err := Load(s.files)
	if err == nil {
		err = s.acceptable(bundle)
	}
	if err != nil {
		s.refuse(err)
		return
	}
	s.refused = ""
	if bundle.sameFiles(s.Current()) {
		return
	}
	s.bundle.Store(bundle)
	s.warned = time.Time{}
	s.log.WithField("key_host", bundle.Host).WithField("not_after", bundle.NotAfter).Info("key replaced")
	s.changed()
}

// acceptable refuses a changed key that is worse than the one in force.
func (s *Store) acceptable(bundle *Bundle) error {
	current := s.Current()
	if bundle.sameFiles(current) {
		return nil
	}
	if bundle.Host != current.Host {
		return &Error{File: s.files.Certificate, Err: &hostError{want: current.Host, got: bundle.Host}}
	}
	if err := bundle.CheckValidity(s.now()); err != nil {
		return &Error{File: s.files.Certificate, Err: err}
	}
	return nil
}

// refuse logs a reason once, not at every poll.
func (s *Store) refuse(err error) {
	s.failures.Add(1)
	if s.refused == err.Error() {
		return
	}
	s.refused = err.Error()
	s.log.WithError(err).Error("changed key refused, the key in force stays")
}

func (s *Store) checkExpiry() {
	now := s.now()
	bundle := s.Current()
	err := bundle.CheckValidity(now)
	switch {
	case err != nil && now.Sub(s.warned) >= expiredEvery:
		s.warned = now
		s.log.WithError(err).WithField("not_after", bundle.NotAfter).
			Error("key is not valid, peers refuse this host")
	case err == nil && bundle.NotAfter.Sub(now) < warnBefore && now.Sub(s.warned) >= warnEvery:
		s.warned = now
		s.log.WithField("not_after", bundle.NotAfter).Warn("key expires soon")
	}
}

// hostError is a key that belongs to another host.
type hostError struct{ want, got string }

func (e *hostError) Error() string {
	return "the certificate is for host " + e.got + ", not for " + e.want
}
