package entryhost

import (
	"context"
	"errors"
	"time"

	"wisteriapond/configservice"
	"wisteriapond/document"
)

// minWatch is the time that a watch without a change takes at least. A service
// that ends watches at once would otherwise be called without a pause.
const minWatch = time.Second

// watchManifest keeps one watch of the manifest open until stopWatching.
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

// followManifest reads the manifest and every change of it. The gate spaces
// the calls while they fail.
func (h *Host) followManifest(ctx context.Context) {
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
			h.sleep(ctx, time.Until(begun.Add(minWatch)))
		case err != nil:
			h.platformFailed(document.ManifestKey, err)
			h.sleep(ctx, minFailureSpacing)
		default:
			etag = value.ETag
			h.manifestRead(value.Raw, "")
			if etag == "" {
				h.sleep(ctx, minWatch)
			}
		}
	}
}
