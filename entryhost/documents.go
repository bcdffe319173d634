package entryhost

import (
	"wisteriapond/core"
	"wisteriapond/document"
	"wisteriapond/metrics"
)

const (
	parseWorkers = 2
	// maxPendingParses allows one document for each service part.
	maxPendingParses = 4096
)

// parseManifest and parsePart parse documents received from a peer. Their size
// is bounded by the maximum size of messages.
func (h *Host) parseManifest(e core.ParseManifest) {
	h.parse(kindManifest, func() { h.deliverManifest(e.Raw, e.From) })
}

func (h *Host) parsePart(e core.ParsePart) {
	h.parse(kindPart, func() { h.deliverPart("", e.Raw, e.From) })
}

// parse queues a document for parsing, or drops it if too many are queued. The
// reducer requests missing documents again.
func (h *Host) parse(kind string, task func()) {
	if !h.parsePool.submit(task) {
		h.metrics.Add(metrics.PlatformCallsDropped, kind, 1)
	}
}

// deliverManifest parses a manifest and sends the result to the reducer. from is
// empty for a manifest that was not received from a peer.
func (h *Host) deliverManifest(raw []byte, from string) {
	key := document.ManifestKey
	version, manifest, err := document.ParseManifest(document.FileName(key), raw)
	if err != nil {
		h.reportRefused(key, raw, err, from)
		return
	}
	h.loop.Send(core.ManifestRead{Version: version, Manifest: manifest, Raw: raw, From: from})
}

// deliverPart parses a service part and sends the result to the reducer. A part
// from a peer has no key: its content names the service, and the reducer
// recognizes a requested part by its hash. The file name of such a part is
// determined only if the part is rejected, because that requires parsing it
// again.
func (h *Host) deliverPart(key string, raw []byte, from string) {
	hash := document.HashOf(raw)
	service, err := document.ParseService(document.FileName(key), raw)
	if err != nil && key == "" {
		_, err = document.ParseService(document.PartFileName(raw), raw)
	}
	if err != nil {
		h.reportRefused(key, raw, err, from)
		return
	}
	h.loop.Send(core.PartRead{Hash: hash, Service: service, Raw: raw, From: from})
}

// reportRefused reports a document that is invalid. The hash identifies it among
// the documents that the reducer requested.
func (h *Host) reportRefused(key string, raw []byte, err error, from string) {
	h.loop.Send(core.DocumentRefused{
		Key:      key,
		Problems: document.ProblemTexts(err),
		From:     from,
		Hash:     document.HashOf(raw),
	})
}
