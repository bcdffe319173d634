package entryhost

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/apex/log"

	"wisteriapond/core"
	"wisteriapond/document"
	"wisteriapond/platform"
)

const (
	// retryPlatform is the wait after a failed call. It bounds the calls of a
	// host while the platform is down.
	retryPlatform = time.Second
)

// Handle carries out the effects that do not belong to one request.
func (h *Host) Handle(effect core.Effect) {
	switch e := effect.(type) {
	case core.Count:
		h.metrics.Add(e.Counter, e.Label, e.Add)
	case core.Log:
		h.writeLog(e)
	case core.CloseIdle:
		h.pool.CloseIdle(e.Address)
	case core.WatchManifest:
		h.watchManifest()
	case core.StopWatching:
		h.stopWatching()
	case core.ReadManifest:
		h.group.Go(func() error { h.readManifest(); return nil })
	case core.ReadPart:
		h.group.Go(func() error { h.readPart(e); return nil })
	case core.ReadHostList:
		h.group.Go(func() error { h.readHostList(); return nil })
	case core.StartProbe:
		h.group.Go(func() error { h.probe(e); return nil })
	case core.StopAccepting:
		h.callerListener.Close()
	case core.ReportStatus:
		h.statuses.answer(e.ID, e.Status)
	case core.ReportExplanation:
		h.explanations.answer(e.ID, e.Explanation)
	}
}

// ObserveStep records the time of one step.
func (h *Host) ObserveStep(took time.Duration) { h.metrics.ObserveStep(took) }

func (h *Host) writeLog(e core.Log) {
	fields := make(log.Fields, len(e.Fields))
	for _, field := range e.Fields {
		fields[field.Key] = field.Value
	}
	entry := h.log.WithFields(fields)
	switch e.Level {
	case core.LogError:
		entry.Error(e.Message)
	case core.LogWarn:
		entry.Warn(e.Message)
	default:
		entry.Info(e.Message)
	}
}

func (h *Host) watchManifest() {
	if h.endWatch != nil {
		return
	}
	ctx, cancel := context.WithCancel(h.ctx)
	h.endWatch = cancel
	h.group.Go(func() error { h.followManifest(ctx); return nil })
}

func (h *Host) stopWatching() {
	if h.endWatch != nil {
		h.endWatch()
		h.endWatch = nil
	}
}

// followManifest keeps a watch open until ctx is done.
func (h *Host) followManifest(ctx context.Context) {
	etag := ""
	for ctx.Err() == nil {
		value, err := h.nextManifest(ctx, etag)
		switch {
		case errors.Is(err, platform.ErrUnchanged), ctx.Err() != nil:
		case err != nil:
			h.platformFailed(document.ManifestKey, err)
			h.sleep(retryPlatform)
		default:
			etag = value.ETag
			h.manifestRead(value.Raw)
		}
	}
}

// readManifest reads the manifest once.
func (h *Host) readManifest() {
	value, err := h.platform.Read(h.ctx, document.ManifestKey)
	if err != nil {
		h.platformFailed(document.ManifestKey, err)
		return
	}
	h.manifestRead(value.Raw)
}

func (h *Host) nextManifest(ctx context.Context, etag string) (platform.Value, error) {
	if etag == "" {
		return h.platform.Read(ctx, document.ManifestKey)
	}
	return h.platform.Watch(ctx, document.ManifestKey, etag)
}

func (h *Host) manifestRead(raw []byte) {
	version, manifest, err := document.Manifest(document.FileOf(document.ManifestKey), raw)
	if err != nil {
		h.loop.Send(core.DocumentRefused{Key: document.ManifestKey, Problems: document.TextsOf(err)})
		return
	}
	h.loop.Send(core.ManifestRead{Version: version, Manifest: manifest, Raw: raw})
}

// readPart reads one part once. The reducer decides when to try again.
func (h *Host) readPart(e core.ReadPart) {
	key := document.PartKey(e.Service)
	value, err := h.platform.Read(h.ctx, key)
	if err != nil {
		h.platformFailed(key, err)
		return
	}
	hash := document.HashOf(value.Raw)
	service, err := document.Service(document.FileOf(key), value.Raw)
	if err != nil {
		h.loop.Send(core.DocumentRefused{Key: key, Problems: document.TextsOf(err)})
		return
	}
	h.loop.Send(core.PartRead{Hash: hash, Service: service, Raw: value.Raw})
}

// readHostList reads the platform's list of hosts once.
func (h *Host) readHostList() {
	raw, err := h.platform.Hosts(h.ctx)
	if err != nil {
		h.platformFailed("hosts", err)
		return
	}
	hosts, err := document.HostList("hosts", raw)
	if err != nil {
		h.loop.Send(core.DocumentRefused{Key: "hosts", Problems: document.TextsOf(err)})
		return
	}
	h.loop.Send(core.HostListRead{Hosts: hosts})
}

func (h *Host) probe(e core.StartProbe) {
	facts, took := h.pool.Probe(h.ctx, h.loop, e)
	h.loop.Send(core.ProbeFinished{Service: e.Service, Upstream: e.Upstream, Facts: facts, Took: took})
}

func (h *Host) platformFailed(key string, err error) {
	if h.ctx.Err() != nil {
		return
	}
	h.loop.Send(core.PlatformFailed{Key: key, Reason: err.Error()})
}

func (h *Host) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-h.ctx.Done():
	case <-timer.C:
	}
}

func isClosed(err error) bool {
	return err == nil || errors.Is(err, net.ErrClosed)
}
