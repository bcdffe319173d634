package entryhost

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"wisteriapond/configservice"
	"wisteriapond/core"
	"wisteriapond/document"
	"wisteriapond/metrics"
)

const (
	readWorkers = 4
	// maxPendingReads holds one read for each service part.
	maxPendingReads = 4096
	// hostListJitter spreads the reads of hosts that started together.
	hostListJitter = 200 * time.Millisecond
	hostListKey    = "hosts"
)

// Kinds of calls to the platform, as metrics name them.
const (
	kindManifest = "manifest"
	kindWatch    = "watch"
	kindPart     = "part"
	kindHosts    = "hosts"
)

// submitRead runs a submitRead of a key once. Another submitRead of the same key that waits
// already suffices. The reducer decides whether a failed submitRead is repeated.
func (h *Host) submitRead(kind, key string, read func()) {
	if _, waits := h.pendingReads.LoadOrStore(key, true); waits {
		return
	}
	accepted := h.readPool.submit(func() {
		h.pendingReads.Delete(key)
		read()
	})
	if accepted {
		return
	}
	h.pendingReads.Delete(key)
	h.metrics.Add(metrics.PlatformUnserved, kind, 1)
	h.sendDeferred(core.PlatformFailed{Key: key, Reason: "too many reads wait"})
}

func (h *Host) readManifest() {
	h.submitRead(kindManifest, document.ManifestKey, func() {
		value, err := h.callValue(h.ctx, kindManifest, document.ManifestKey, "")
		if err != nil {
			h.platformFailed(document.ManifestKey, err)
			return
		}
		h.deliverManifest(value.Raw, "")
	})
}

func (h *Host) readPart(e core.ReadPart) {
	key := document.PartKey(e.Service)
	h.submitRead(kindPart, key, func() {
		value, err := h.callValue(h.ctx, kindPart, key, "")
		if err != nil {
			h.platformFailed(key, err)
			return
		}
		h.deliverPart(key, value.Raw, "")
	})
}

func (h *Host) readHostList() {
	h.submitRead(kindHosts, hostListKey, func() {
		h.sleep(h.ctx, rand.N(hostListJitter))
		list, err := h.callHosts()
		if errors.Is(err, configservice.ErrUnchanged) {
			h.loop.Send(core.HostListRead{})
			return
		}
		if err != nil {
			h.platformFailed(hostListKey, err)
			return
		}
		hosts, err := document.ParseHostList(hostListKey, list.Raw)
		if err != nil {
			h.reportRefused(hostListKey, list.Raw, err, "")
			return
		}
		h.hostsETag.Store(&list.ETag)
		h.loop.Send(core.HostListRead{Hosts: hosts})
	})
}

// callValue reads a value, or watches it when an ETag is given.
func (h *Host) callValue(ctx context.Context, kind, key, etag string) (configservice.Value, error) {
	if err := h.platformLimiter.wait(ctx); err != nil {
		return configservice.Value{}, err
	}
	h.metrics.Add(metrics.PlatformCalls, kind, 1)
	var value configservice.Value
	var err error
	if etag == "" {
		value, err = h.platform.Read(ctx, key)
	} else {
		value, err = h.platform.Watch(ctx, key, etag)
	}
	h.recordCall(ctx, err)
	return value, err
}

func (h *Host) callHosts() (configservice.Value, error) {
	if err := h.platformLimiter.wait(h.ctx); err != nil {
		return configservice.Value{}, err
	}
	h.metrics.Add(metrics.PlatformCalls, kindHosts, 1)
	etag := ""
	if known := h.hostsETag.Load(); known != nil {
		etag = *known
	}
	list, err := h.platform.Hosts(h.ctx, etag)
	h.recordCall(h.ctx, err)
	return list, err
}

// recordCall tells a platform that is down from one that answers, be it that it
// does not know the key.
func (h *Host) recordCall(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	var failure *configservice.Error
	answered := errors.As(err, &failure) && failure.Status != 0 && failure.Status < http.StatusInternalServerError
	h.platformLimiter.record(err == nil || errors.Is(err, configservice.ErrUnchanged) || answered)
}

func (h *Host) platformFailed(key string, err error) {
	if h.ctx.Err() != nil {
		return
	}
	h.loop.Send(core.PlatformFailed{Key: key, Reason: err.Error()})
}

func (h *Host) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
