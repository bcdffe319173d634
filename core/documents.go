package core

import (
	"slices"
	"time"

	"wisteriapond/config"
	"wisteriapond/generation"
)

const (
	// manifestTimeout is the time to wait for a manifest from one peer before it
	// is requested from another.
	manifestTimeout = time.Second
	// maxManifestSources bounds the peers remembered as having the wanted
	// version.
	maxManifestSources = 8
	// maxDocumentBytes is the size limit of documents. A patch that results in a
	// larger manifest is rejected.
	maxDocumentBytes = 1 << 20
	// watcherHostListInterval is the time between two reads of the host list by
	// a host that watches the configuration service, and hostListInterval the time
	// for all others, which learn leaving marks from their peers.
	watcherHostListInterval = time.Second
	hostListInterval        = 30 * time.Second
)

// documents is the state of fetching configuration documents and of serving
// them to peers.
type documents struct {
	// manifest and parts are the raw documents of the version in force, and
	// previous is the manifest of the version before it. Requests of peers are
	// served from them.
	manifest        document
	previous        document
	parts           map[config.Hash][]byte
	wanted          *wantedManifest
	refusedVersions []config.Version
	// reportedConflict is the last version that was reported for having the
	// generation of the version in force but another hash.
	reportedConflict config.Version
	// reportedRefusals is the hash of the content that was last reported as
	// refused, by document key.
	reportedRefusals map[string]config.Hash
	watching         bool
	startup          startupState
	// readFailures counts the failed reads of the manifest from the configuration
	// service since the last successful one.
	readFailures int
	nextRead     Instant
	// platformReadsFrom is the instant until which a starting host without live
	// members does not read from the configuration service, so that its peers can
	// respond first. It is 0 once it has passed, and if no peers are configured.
	platformReadsFrom Instant
	nextHostList      Instant
	patch             patchCache
}

type document struct {
	hash config.Hash
	raw  []byte
}

// patchCache holds the last patch, since all peers request the same one.
type patchCache struct {
	from, to config.Hash
	patch    *generation.Patch
}

// wantedManifest is a version that peers have in force and whose manifest this
// host has not received yet.
type wantedManifest struct {
	version     config.Version
	sources     []string
	nextSource  int
	nextRequest Instant
	// complete is set when a patch did not produce the wanted version, so that
	// the complete manifest is requested.
	complete bool
}

func (d *documents) init() {
	d.parts = make(map[config.Hash][]byte)
	d.reportedRefusals = make(map[string]config.Hash)
}

// handleDocumentMessage handles the fields of a message that concern
// configuration documents.
func (s *State) handleDocumentMessage(e PeerMessage) {
	m := &e.Message
	if m.Accepted != nil {
		s.recordPeerVersion(*m.Accepted, e.Address)
	}
	if m.WantManifest != nil {
		s.serveManifest(e.Address, *m.WantManifest)
	}
	if len(m.WantParts) > 0 {
		s.serveParts(e.Address, m.WantParts)
	}
	if len(m.Manifest) > 0 {
		s.out.add(ParseManifest{Raw: m.Manifest, From: e.From})
	}
	if m.Patch != nil {
		s.applyPatch(m.Patch, e.From)
	}
	if len(m.Part) > 0 {
		s.out.add(ParsePart{Raw: m.Part, From: e.From})
	}
	if len(m.Lacking) > 0 {
		s.handleMissingDocuments(m.Lacking)
	}
	s.requestDocuments()
}

// recordPeerVersion records a peer that has a newer version in force as a source
// of the documents of that version.
func (s *State) recordPeerVersion(version config.Version, address string) {
	if !s.isNewer(version) || address == "" {
		return
	}
	if s.pending != nil && s.pending.version == version {
		s.pending.fetcher.AddSource(address)
		return
	}
	if s.pending != nil && version.Less(s.pending.version) {
		return
	}
	w := s.documents.wanted
	if w == nil || w.version.Less(version) {
		w = &wantedManifest{version: version}
		s.documents.wanted = w
	}
	if w.version == version && len(w.sources) < maxManifestSources && !slices.Contains(w.sources, address) {
		w.sources = append(w.sources, address)
	}
}

// requestDocuments sends the requests that are due for missing documents.
func (s *State) requestDocuments() {
	s.requestManifest()
	if s.pending == nil {
		return
	}
	for _, request := range s.pending.fetcher.Requests(time.Duration(s.now)) {
		s.count(CounterPartRequests, sourceLabel(request.Peer))
		if request.Peer == "" {
			for _, part := range request.Parts {
				s.out.add(ReadPart{Service: part.Service, Hash: part.Hash})
			}
			continue
		}
		hashes := make([]config.Hash, 0, len(request.Parts))
		for _, part := range request.Parts {
			hashes = append(hashes, part.Hash)
		}
		s.send(request.Peer, Message{WantParts: hashes})
	}
}

// requestManifest requests the wanted manifest from one of the peers that have
// it, and from the next one when no response has arrived in time.
func (s *State) requestManifest() {
	w := s.documents.wanted
	if w == nil || s.now.Before(w.nextRequest) || len(w.sources) == 0 {
		return
	}
	address := w.sources[w.nextSource%len(w.sources)]
	w.nextSource++
	w.nextRequest = s.now.Add(manifestTimeout)
	request := &ManifestRequest{Version: w.version}
	if !w.complete {
		request.Have = s.documents.manifest.hash
	}
	s.send(address, Message{WantManifest: request})
}

// serveManifest sends a peer the requested manifest, or a patch if the peer has
// the previous one. If another version is in force here, it reports the document
// as lacking and names that version.
func (s *State) serveManifest(address string, request ManifestRequest) {
	d := &s.documents
	if s.table == nil || s.table.Version != request.Version {
		s.send(address, Message{Lacking: []config.Hash{request.Version.Hash}, Accepted: s.acceptedVersion()})
		return
	}
	if patch := d.patchFrom(request.Have); patch != nil {
		s.send(address, Message{Patch: patch})
		return
	}
	s.send(address, Message{Manifest: d.manifest.raw})
}

// patchFrom returns the patch from the previous manifest to the one in force, or
// nil when the receiver does not have the previous one or when the patch would
// save too little.
func (d *documents) patchFrom(have config.Hash) *generation.Patch {
	if have == "" || have != d.previous.hash {
		return nil
	}
	if d.patch.from != have || d.patch.to != d.manifest.hash {
		patch := generation.Diff(have, d.previous.raw, d.manifest.raw)
		d.patch = patchCache{from: have, to: d.manifest.hash, patch: patch}
	}
	return d.patch.patch
}

// applyPatch applies a patch to the manifest in force and parses the result. A
// patch against any other manifest is ignored.
func (s *State) applyPatch(patch *generation.Patch, from string) {
	if patch.Base != s.documents.manifest.hash {
		return
	}
	raw, err := generation.Apply(s.documents.manifest.raw, patch, maxDocumentBytes)
	if err != nil {
		s.patchFailed()
		return
	}
	s.out.add(ParseManifest{Raw: raw, From: from})
}

// patchFailed counts a faulty patch and schedules a request for the complete
// manifest without delay.
func (s *State) patchFailed() {
	s.count(CounterConfigurations, "bad_patch")
	if w := s.documents.wanted; w != nil {
		w.complete = true
		w.nextRequest = s.now
	}
}

// isExpectedManifest reports whether a manifest from a peer is the wanted one.
// Without this check, the result of a faulty patch would be accepted as a version
// that nobody has published.
func (s *State) isExpectedManifest(e ManifestRead) bool {
	w := s.documents.wanted
	if w == nil || w.version == e.Version {
		return w != nil
	}
	if !w.complete && w.version.Generation == e.Version.Generation {
		s.patchFailed()
	}
	return false
}

// serveParts sends the requested parts, each in a message of its own, since a
// part may be as large as 1 MB.
func (s *State) serveParts(address string, hashes []config.Hash) {
	var lacking []config.Hash
	for _, hash := range hashes[:min(len(hashes), generation.MaxPartsPerPeer)] {
		raw := s.documents.parts[hash]
		if raw == nil {
			lacking = append(lacking, hash)
			continue
		}
		s.send(address, Message{Part: raw})
	}
	if len(lacking) > 0 {
		s.send(address, Message{Lacking: lacking})
	}
}

// handleMissingDocuments moves on to the next source of the documents that a peer
// does not have.
func (s *State) handleMissingDocuments(hashes []config.Hash) {
	if w := s.documents.wanted; w != nil && slices.Contains(hashes, w.version.Hash) {
		w.nextRequest = s.now
	}
	if s.pending != nil {
		s.pending.fetcher.RecordFailure(time.Duration(s.now), func(part generation.Part) bool {
			return slices.Contains(hashes, part.Hash)
		})
	}
}

// partFailed moves on to the next source of the part of a service.
func (s *State) partFailed(service string) {
	if s.pending == nil {
		return
	}
	s.pending.fetcher.RecordFailure(time.Duration(s.now), func(part generation.Part) bool {
		return part.Service == service
	})
}

// handleReadFailure schedules another read of a manifest or part, with a backoff
// that grows with each failure.
func (s *State) handleReadFailure(key string) {
	if key == manifestKey {
		s.documents.readFailures++
		s.documents.nextRead = s.now.Add(generation.Backoff(s.documents.readFailures))
		return
	}
	if len(key) > len(partKeyPrefix) && key[:len(partKeyPrefix)] == partKeyPrefix {
		s.partFailed(key[len(partKeyPrefix):])
		s.requestDocuments()
	}
}

// tickDocuments repeats requests that got no response. A host that has no
// configuration and does not watch the configuration service reads the manifest
// from there as well, since its peers may have no configuration either.
func (s *State) tickDocuments() {
	s.startDelayedWatch()
	s.requestDocuments()
	d := &s.documents
	if s.table == nil && !d.watching && !s.now.Before(d.nextRead) {
		d.nextRead = s.now.Add(generation.Backoff(d.readFailures))
		s.out.add(ReadManifest{})
	}
	if !s.now.Before(d.nextHostList) {
		d.nextHostList = s.now.Add(hostListInterval)
		if d.watching {
			d.nextHostList = s.now.Add(watcherHostListInterval)
		}
		s.out.add(ReadHostList{})
	}
	s.updateReady()
}
