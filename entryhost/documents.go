package entryhost

import (
	"wisteriapond/core"
	"wisteriapond/document"
	"wisteriapond/metrics"
)

const (
	parseWorkers = 2
	// maxPendingParses holds one document for each service part.
	maxPendingParses = 4096
)

// parseManifest and parsePart read documents that came from a peer. The bytes
// are bounded by the size of messages.
func (h *Host) parseManifest(e core.ParseManifest) {
	h.parse(kindManifest, func() { h.deliverManifest(e.Raw, e.From) })
}

func (h *Host) parsePart(e core.ParsePart) {
	h.parse(kindPart, func() { h.deliverPart("", e.Raw, e.From) })
}

// parse drops a document when too many wait. The reducer asks again for what
// does not come.
func (h *Host) parse(kind string, task func()) {
	if !h.parsePool.submit(task) {
		h.metrics.Add(metrics.PlatformUnserved, kind, 1)
	}
}

func (h *Host) deliverManifest(raw []byte, from string) {
	key := document.ManifestKey
	version, manifest, err := document.ParseManifest(document.FileName(key), raw)
	if err != nil {
		h.reportRefused(key, raw, err, from)
		return
	}
	h.loop.Send(core.ManifestRead{Version: version, Manifest: manifest, Raw: raw, From: from})
}

// deliverPart takes a part. A part from a peer has no key: its bytes say which
// service it is, and its hash whether it is the one that was wanted. Its file
// name is found only when it is refused, since that takes another reading.
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

// reportRefused reports a document that could not be read. Its hash tells the reducer
// which of the wanted documents it was.
func (h *Host) reportRefused(key string, raw []byte, err error, from string) {
	h.loop.Send(core.DocumentRefused{
		Key:      key,
		Problems: document.ProblemTexts(err),
		From:     from,
		Hash:     document.HashOf(raw),
	})
}
