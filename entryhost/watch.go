package entryhost

import (
	"context"
	"errors"
	"time"

	"wisteriapond/configservice"
	"wisteriapond/document"
)

// minWatchTime is the time that a watch without a change takes at least. A service
// that ends watches at once would otherwise be called without a pause.
const minWatchTime = time.Second

// watchManifest keeps one watch of the manifest open until stopWatching.
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

// runManifestWatch reads the manifest and every change of it. The gate spaces
// the calls while they fail.
func (h *Host) runManifestWatch(ctx context.Context) {
	etag := ""
	for ctx.Err() == nil {
		begun := time.Now()
		kind := kindWatch
		if etag == "" {
			kind = kindManifest
		}
		value, err := h.callValue(ctx, kind, document.ManifestKey, etag)
		switch {
		case ctx.Err() != nil:
		case errors.Is(err, configservice.ErrUnchanged):
			h.sleep(ctx, time.Until(begun.Add(minWatchTime)))
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
