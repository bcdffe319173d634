package entryhost

import (
	"context"
	"errors"
	"time"

	"wisteriapond/configservice"
	"wisteriapond/document"
)

// minWatchTime is the minimum duration of a watch that returns without a change,
// and the pause after a manifest without an ETag. Otherwise a service that
// responds immediately would be called in a tight loop.
const minWatchTime = time.Second

// watchManifest starts watching the manifest until stopWatching is called. It
// does nothing if the manifest is already being watched.
func (h *Host) watchManifest() {
	if h.cancelWatch != nil {
		return
	}
	ctx, cancel := context.WithCancel(h.ctx)
	h.cancelWatch = cancel
	h.group.Go(func() error { h.runManifestWatch(ctx); return nil })
}

func (h *Host) stopWatching() {
	if h.cancelWatch != nil {
		h.cancelWatch()
		h.cancelWatch = nil
	}
}

// runManifestWatch reads the manifest and then every change of it until ctx is
// done. While calls fail, the rate limiter backs off.
func (h *Host) runManifestWatch(ctx context.Context) {
	etag := ""
	for ctx.Err() == nil {
		started := time.Now()
		kind := kindWatch
		if etag == "" {
			kind = kindManifest
		}
		value, err := h.callValue(ctx, kind, document.ManifestKey, etag)
		switch {
		case ctx.Err() != nil:
		case errors.Is(err, configservice.ErrUnchanged):
			h.sleep(ctx, time.Until(started.Add(minWatchTime)))
		case err != nil:
			h.platformFailed(document.ManifestKey, err)
			h.sleep(ctx, minFailureSpacing)
		default:
			etag = value.ETag
			h.deliverManifest(value.Raw, "")
			if etag == "" {
				h.sleep(ctx, minWatchTime)
			}
		}
	}
}
