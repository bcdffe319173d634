package keys

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"
)

const (
	// PollInterval is the interval at which an entry host checks its key files for
	// changes.
	PollInterval = 10 * time.Second
	// expiryWarningPeriod is the time before the expiry of the key from which
	// warnings are logged.
	expiryWarningPeriod = 14 * 24 * time.Hour
	// expiryWarningInterval is the interval between warnings, so that they do not
	// flood the log.
	expiryWarningInterval = 24 * time.Hour
	// expiredLogInterval is the interval between errors about a key that is not
	// valid.
	expiredLogInterval = time.Hour
)

// Store holds the active key of a host and replaces it when the files change.
type Store struct {
	files  Files
	log    log.Interface
	now    func() time.Time
	bundle atomic.Pointer[Bundle]
	// refused is the number of refused reloads.
	refused atomic.Int64
	changed func()
	// loggedAt is the time of the last message about the expiry of the active key.
	loggedAt time.Time
	// lastRefusal is the reason of the last refused reload, empty after a reload
	// with usable files.
	lastRefusal string
}

// Open loads the key of a host. An expired key is logged but accepted: until the
// files are replaced, the host serves callers without its peers.
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

// OnChange sets the function that is called after the key was replaced. It must be
// called before Watch.
func (s *Store) OnChange(changed func()) { s.changed = changed }

// Current returns the active key.
func (s *Store) Current() *Bundle { return s.bundle.Load() }

// Remaining returns the time until the active key expires, negative after it has
// expired.
func (s *Store) Remaining() time.Duration { return s.Current().NotAfter.Sub(s.now()) }

// RefusedReloads returns the number of reloads that were refused. Unusable files
// are counted each time they are checked.
func (s *Store) RefusedReloads() int64 { return s.refused.Load() }

// Watch reloads the files when they change, until ctx is done. It checks them at
// every interval, and immediately when it receives from reloadNow.
func (s *Store) Watch(ctx context.Context, interval time.Duration, reloadNow <-chan struct{}) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-reloadNow:
		}
		s.reload()
		s.checkExpiry()
	}
}

// reload loads the files and makes them the active key if they changed. It keeps
// the active key when the files cannot be used: they may be read while they are
// being replaced one after the other.
func (s *Store) reload() {
	bundle, err := Load(s.files)
	if err == nil {
		err = s.checkReplacement(bundle)
	}
	if err != nil {
		s.refuseReload(err)
		return
	}
	s.lastRefusal = ""
	if bundle.equalFiles(s.Current()) {
		return
	}
	s.bundle.Store(bundle)
	s.loggedAt = time.Time{}
	s.log.WithField("key_host", bundle.Host).WithField("not_after", bundle.NotAfter).Info("key replaced")
	s.changed()
}

// checkReplacement returns an error if the key has changed and is for another host
// or not valid now.
func (s *Store) checkReplacement(bundle *Bundle) error {
	current := s.Current()
	if bundle.equalFiles(current) {
		return nil
	}
	if bundle.Host != current.Host {
		return &Error{File: s.files.Certificate, Err: &hostMismatchError{want: current.Host, got: bundle.Host}}
	}
	if err := bundle.CheckValidity(s.now()); err != nil {
		return &Error{File: s.files.Certificate, Err: err}
	}
	return nil
}

// refuseReload counts a refused reload. It logs a reason only once in a row, not at
// every poll.
func (s *Store) refuseReload(err error) {
	s.refused.Add(1)
	if s.lastRefusal == err.Error() {
		return
	}
	s.lastRefusal = err.Error()
	s.log.WithError(err).Error("changed key refused, keeping the active key")
}

// checkExpiry logs an error if the active key is not valid, and a warning if it
// expires soon. Repeated messages are limited to the intervals above.
func (s *Store) checkExpiry() {
	now := s.now()
	bundle := s.Current()
	err := bundle.CheckValidity(now)
	switch {
	case err != nil && now.Sub(s.loggedAt) >= expiredLogInterval:
		s.loggedAt = now
		s.log.WithError(err).WithField("not_after", bundle.NotAfter).
			Error("key is not valid, peers refuse this host")
	case err == nil && bundle.NotAfter.Sub(now) < expiryWarningPeriod && now.Sub(s.loggedAt) >= expiryWarningInterval:
		s.loggedAt = now
		s.log.WithField("not_after", bundle.NotAfter).Warn("key expires soon")
	}
}

// hostMismatchError reports a certificate for another host.
type hostMismatchError struct{ want, got string }

func (e *hostMismatchError) Error() string {
	return "the certificate is for host " + e.got + ", not for " + e.want
}
