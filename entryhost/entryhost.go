// Package entryhost assembles one entry host: the control loop, the servers
// towards callers and operators, and the reads from the platform.
package entryhost

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"wisteriapond/admin"
	"wisteriapond/backend"
	"wisteriapond/caller"
	"wisteriapond/config"
	"wisteriapond/core"
	"wisteriapond/metrics"
	"wisteriapond/platform"
	"wisteriapond/runtime"
	"wisteriapond/settings"
)

// Host is one running entry host.
type Host struct {
	settings *settings.Settings
	log      log.Interface
	loop     *runtime.Loop
	pool     *backend.Pool
	metrics  *metrics.Set
	platform *platform.Client
	caller   *caller.Server
	admin    *admin.Server

	callerListener net.Listener
	adminListener  net.Listener

	ctx      context.Context
	group    *errgroup.Group
	endWatch context.CancelFunc

	statuses     questions[core.Status]
	explanations questions[config.Explanation]
}

// New opens the listeners of a host. Run serves them.
func New(s *settings.Settings, logger log.Interface) (*Host, error) {
	h := &Host{
		settings: s,
		log:      logger.WithField("host", s.Host),
		pool:     backend.NewPool(),
		metrics:  metrics.New(),
		platform: platform.NewClient(s.Platform),
	}
	h.loop = runtime.NewLoop(h)
	h.caller = caller.NewServer(h.loop, h.pool, h.log)
	h.caller.Observe = h.metrics.ObserveRequest
	h.admin = admin.NewServer(h, h.metrics, admin.Options{Profiling: s.Profiling})
	var err error
	if h.callerListener, err = net.Listen("tcp", s.Listen); err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	if h.adminListener, err = net.Listen("tcp", s.Admin); err != nil {
		h.callerListener.Close()
		return nil, fmt.Errorf("listen for operators: %w", err)
	}
	return h, nil
}

// Address returns the address for callers.
func (h *Host) Address() string { return h.callerListener.Addr().String() }

// AdminAddress returns the address for operators.
func (h *Host) AdminAddress() string { return h.adminListener.Addr().String() }

// Ready reports whether the host takes requests.
func (h *Host) Ready() bool { return h.loop.Ready() }

// Stop asks for a planned stop. Run returns when nothing is in flight.
func (h *Host) Stop() { h.loop.Send(core.StopRequested{}) }

// Run serves until a planned stop is complete or ctx is done.
func (h *Host) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h.group, h.ctx = errgroup.WithContext(ctx)
	h.loop.Send(core.Start{
		Host:          h.settings.Host,
		Address:       h.Address(),
		Region:        h.settings.Region,
		FailureDomain: h.settings.FailureDomain,
		Seed:          uint64(time.Now().UnixNano()),
		Incarnation:   uint64(time.Now().UnixMilli()),
		AcceptFor:     time.Duration(h.settings.AcceptFor),
		StopTimeout:   time.Duration(h.settings.StopTimeout),
	})
	h.group.Go(func() error { return h.admin.Serve(h.adminListener) })
	h.group.Go(func() error { return h.serveCallers() })
	h.group.Go(func() error {
		defer cancel()
		err := h.loop.Run(h.ctx)
		h.finishCallers()
		h.admin.Close()
		return err
	})
	return h.group.Wait()
}

// finishCallers waits until the last bytes of every answer are written: the
// reducer counts an answer as delivered once its connection has taken it.
func (h *Host) finishCallers() {
	ctx := h.ctx
	if limit := time.Duration(h.settings.StopTimeout); limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limit)
		defer cancel()
	}
	if err := h.caller.Shutdown(ctx); err != nil && !isClosed(err) {
		h.log.WithError(err).Warn("connections of callers were still open at the end")
	}
	h.callerListener.Close()
}

func (h *Host) serveCallers() error {
	err := h.caller.Serve(h.callerListener)
	if isClosed(err) {
		return nil
	}
	return err
}
