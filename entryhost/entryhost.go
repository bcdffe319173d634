// Package entryhost assembles an entry host: the control loop, the servers for
// callers, operators and other entry hosts, and the clients of the configuration
// service and the store.
package entryhost

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"wisteriapond/admin"
	"wisteriapond/backend"
	"wisteriapond/caller"
	"wisteriapond/config"
	"wisteriapond/configservice"
	"wisteriapond/core"
	"wisteriapond/eventlog"
	"wisteriapond/intake"
	"wisteriapond/keys"
	"wisteriapond/listen"
	"wisteriapond/metrics"
	"wisteriapond/outcome"
	"wisteriapond/peer"
	"wisteriapond/platform"
	"wisteriapond/relay"
	"wisteriapond/runtime"
	"wisteriapond/settings"
)

// finalWriteTime is the time for writing the responses that end at the end of a planned
// stop. The rest of settings.KillMargin is for the exit of the process.
const finalWriteTime = settings.KillMargin / 2

// Host is one running entry host.
type Host struct {
	settings *settings.Settings
	log      log.Interface
	loop     *runtime.Loop
	pool     *backend.Pool
	metrics  *metrics.Set
	platform *configservice.Client
	// relay, relayClient and relayListener are nil for a host that does not relay
	// store updates. pendingPolls holds the polls of other hosts.
	relay         *relay.Server
	relayClient   *relay.Client
	relayListener net.Listener
	pendingPolls  pendingQueries[core.NewsAnswer]
	// loopEnded is done once the control loop has ended. Polls that are pending then get
	// no response; to wait for them would delay the end of the process.
	loopEnded context.Context
	endLoop   context.CancelFunc
	// store is nil if routing and servers come from the configuration service.
	store  *platform.Store
	caller *caller.Server
	admin  *admin.Server

	callerListener net.Listener
	adminListener  net.Listener

	// peers and keys are nil for a host without peers, and recorder is nil for a
	// host that does not record events.
	peers     *peer.Transport
	keys      *keys.Store
	keyReload chan struct{}
	recorder  *eventlog.Recorder

	platformLimiter *rateLimiter
	readPool        *workerPool
	hostsETag       atomic.Pointer[string]
	pendingReads    sync.Map
	parsePool       *workerPool
	probePool       *workerPool
	deferredEvents  chan core.Event

	// settingsFile is empty for a host that does not watch its settings.
	settingsFile   string
	settingsReload chan struct{}

	// drainOnce ensures that the caller server is shut down once.
	drainOnce sync.Once

	ctx         context.Context
	group       *errgroup.Group
	cancelWatch context.CancelFunc

	statuses     pendingQueries[core.Status]
	explanations pendingQueries[config.Explanation]
}

// New returns a host with open listeners. Run serves them.
func New(s *settings.Settings, logger log.Interface) (*Host, error) {
	h := &Host{
		settings:        s,
		log:             logger.WithField("host", s.Host),
		pool:            backend.NewPool(),
		metrics:         metrics.New(),
		platform:        configservice.NewClient(s.Platform),
		keyReload:       make(chan struct{}, 1),
		settingsReload:  make(chan struct{}, 1),
		platformLimiter: newRateLimiter(),
		readPool:        newWorkerPool(readWorkers, maxPendingReads),
		parsePool:       newWorkerPool(parseWorkers, maxPendingParses),
		probePool:       newWorkerPool(probeWorkers, maxPendingProbes),
		deferredEvents:  make(chan core.Event, maxDeferredEvents),
	}
	if s.Store.Address != "" {
		h.store = platform.NewStore(s.Store.Address)
		h.pool.Dialect = platform.Dialect()
	}
	h.loopEnded, h.endLoop = context.WithCancel(context.Background())
	h.loop = runtime.NewLoop(h)
	bounds := intake.BoundsOf(s.Limits.Intake())
	h.caller = caller.NewServer(h.loop, h.pool, bounds, h.log)
	h.caller.Pipelined = s.Limits.Pipelined
	h.pool.Bounds = backend.Bounds{
		Connections: bounds.ServerConnections, HeldAnswers: bounds.HeldAnswers,
		ReadBuffer: bounds.AnswerBuffer, OnFull: h.caller.ReportServersFull,
	}
	h.caller.ObserveLatency = h.metrics.ObserveRequest
	h.caller.ObserveRefusal = func(reason outcome.Refusal) {
		h.metrics.Add(core.CounterRefusals, string(reason), 1)
	}
	h.admin = admin.NewServer(h, h.metrics, admin.Options{Profiling: s.Profiling})
	if err := h.open(); err != nil {
		h.close()
		return nil, err
	}
	return h, nil
}

func (h *Host) open() error {
	var err error
	if h.callerListener, err = h.listen("callers", h.settings.Listen, intake.BoundsOf(h.settings.Limits.Intake()).ReceiveBuffer); err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	if h.adminListener, err = h.listen("operators", h.settings.Admin, 0); err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	if err := h.openPeers(); err != nil {
		return err
	}
	if err := h.openRelay(); err != nil {
		return err
	}
	return h.openRecording()
}

// listen opens a listener that outlasts a shortage of descriptors.
func (h *Host) listen(name, address string, receiveBuffer int) (net.Listener, error) {
	l, err := listen.Open(address, receiveBuffer)
	if err != nil {
		return nil, err
	}
	return listen.Through(l, func(error) { h.loop.Send(core.DescriptorsShort{Listener: name}) }), nil
}

// close closes everything that open has opened.
func (h *Host) close() {
	if h.callerListener != nil {
		h.callerListener.Close()
	}
	if h.adminListener != nil {
		h.adminListener.Close()
	}
	if h.peers != nil {
		h.peers.Close()
	}
	if h.relayListener != nil {
		h.relayListener.Close()
	}
}

// Address returns the listen address for callers.
func (h *Host) Address() string { return h.callerListener.Addr().String() }

// AdminAddress returns the listen address for operators.
func (h *Host) AdminAddress() string { return h.adminListener.Addr().String() }

// Ready reports whether the host accepts requests.
func (h *Host) Ready() bool { return h.loop.Ready() }

// Stop starts a planned stop. Run returns when no requests are in flight.
func (h *Host) Stop() { h.loop.Send(core.StopRequested{}) }

// Run serves until a planned stop is complete or ctx is done.
func (h *Host) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h.group, h.ctx = errgroup.WithContext(ctx)
	h.loop.Send(h.startEvent())
	h.startWorkers()
	h.runPeers(h.ctx)
	recording, endRecording := context.WithCancel(context.WithoutCancel(ctx))
	h.runRecording(recording)
	h.group.Go(func() error { return h.admin.Serve(h.adminListener) })
	h.group.Go(func() error { return h.caller.Serve(h.callerListener) })
	h.runRelay()
	h.group.Go(func() error {
		defer cancel()
		err := h.loop.Run(h.ctx)
		h.endLoop()
		endRecording()
		h.flushPeers()
		h.drainCallers()
		h.closeRelay()
		h.admin.Close()
		return err
	})
	return h.group.Wait()
}

func (h *Host) startWorkers() {
	run := func(work func()) { h.group.Go(func() error { work(); return nil }) }
	h.readPool.start(h.ctx, run)
	h.parsePool.start(h.ctx, run)
	h.probePool.start(h.ctx, run)
	run(h.forwardDeferred)
	run(h.pollSettings)
}

// startEvent returns the event that initializes the reducer. The incarnation is
// taken from the wall clock, because the host has no persistent storage for it.
func (h *Host) startEvent() core.Start {
	now := time.Now()
	start := core.Start{
		Host:          h.settings.Host,
		Address:       h.Address(),
		Region:        h.settings.Region,
		FailureDomain: h.settings.FailureDomain,
		Seed:          uint64(now.UnixNano()),
		Incarnation:   uint64(now.UnixMilli()),
		AcceptFor:     time.Duration(h.settings.AcceptFor),
		StopTimeout:   h.settings.StopLimit(),
		HoldBytes:     int64(h.settings.ResponseBuffer),
		UnsizedBytes:  int64(h.settings.UnsizedLimit),
		Registry:      h.registrySettings(&h.settings.Store),
		Limits:        h.settings.Limits.Intake(),
	}
	if h.peers != nil {
		start.Address = h.PeerAddress()
		start.Peers = slices.DeleteFunc(slices.Clone(h.settings.Peers), func(address string) bool {
			return address == start.Address
		})
	}
	return start
}

// drainCallers closes the listener and idle connections once, and waits until
// every response has been written completely. The wait is needed because the
// reducer counts a response as delivered when its connection has accepted the
// last bytes.
func (h *Host) drainCallers() {
	h.drainOnce.Do(h.shutdownCallers)
}

// shutdownCallers shuts the caller server down, within the setting stop_timeout
// if there is one, and finalWriteTime.
func (h *Host) shutdownCallers() {
	ctx := h.ctx
	if limit := h.settings.StopLimit(); limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limit+finalWriteTime)
		defer cancel()
	}
	if err := h.caller.Shutdown(ctx); err != nil {
		h.log.WithError(err).Warn("shutdown did not close all caller connections")
	}
}
