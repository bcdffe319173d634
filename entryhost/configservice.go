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
	// maxPendingReads allows one read for each service part.
	maxPendingReads = 4096
	// hostListJitter is the maximum delay of a read of the host list. It spreads
	// the reads of hosts that started at the same time.
	hostListJitter = 200 * time.Millisecond
	hostListKey    = "hosts"
)

// Kinds of calls to the platform, used as metric labels.
const (
	kindManifest = "manifest"
	kindWatch    = "watch"
	kindPart     = "part"
	kindHosts    = "hosts"
)

// submitRead queues a read of a key, unless a read of the same key is already
// queued. The reducer decides whether a failed read is retried.
func (h *Host) submitRead(kind, key string, read func()) {
	if _, pending := h.pendingReads.LoadOrStore(key, true); pending {
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
	h.metrics.Add(metrics.PlatformCallsDropped, kind, 1)
	h.sendDeferred(core.PlatformFailed{Key: key, Reason: "too many pending reads"})
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

// callValue reads a value, or watches it for a change if an ETag is given.
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

// callHosts reads the host list, or returns ErrUnchanged if it has the ETag of
// the last valid list.
func (h *Host) callHosts() (configservice.Value, error) {
	if err := h.platformLimiter.wait(h.ctx); err != nil {
		return configservice.Value{}, err
	}
	h.metrics.Add(metrics.PlatformCalls, kindHosts, 1)
	etag := ""
	if current := h.hostsETag.Load(); current != nil {
		etag = *current
	}
	list, err := h.platform.Hosts(h.ctx, etag)
	h.recordCall(h.ctx, err)
	return list, err
}

// recordCall reports the result of a call to the rate limiter. A response with a
// status below 500 counts as success, for example when the key does not exist.
func (h *Host) recordCall(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	var failure *configservice.Error
	responded := errors.As(err, &failure) && failure.Status != 0 && failure.Status < http.StatusInternalServerError
	h.platformLimiter.record(err == nil || errors.Is(err, configservice.ErrUnchanged) || responded)
}

// platformFailed reports a failed read to the reducer, unless the host is ending.
func (h *Host) platformFailed(key string, err error) {
	if h.ctx.Err() != nil {
		return
	}
	h.loop.Send(core.PlatformFailed{Key: key, Reason: err.Error()})
}

// sleep waits for the given time or until ctx is done.
func (h *Host) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
