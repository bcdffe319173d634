package core

import (
	"slices"
	"time"

	"wisteriapond/config"
	"wisteriapond/generation"
)

const (
	// manifestAnswer is the wait for a manifest from a peer before another one
	// is asked.
	manifestAnswer = time.Second
	// maxManifestSources bounds the peers remembered as having a version.
	maxManifestSources = 8
	// maxDocument is the size limit of documents, in bytes.
	maxDocument = 1 << 20
	// hostListEvery is the time between two reads of the host list by a host
	// that watches the platform, hostListRarely that of the others, who learn
	// leaving marks from their peers.
	hostListEvery  = time.Second
	hostListRarely = 30 * time.Second
)

// documents is how a host gets from one version to the next.
type documents struct {
	// manifest and parts are the bytes of the version in force, previous is
	// the manifest before it. Peers are served from them.
	manifest document
	previous document
	parts    map[config.Hash][]byte
	wanted   *wantedManifest
	refused  []config.Version
	// alarmed is the last version for which another document of the same
	// generation was reported.
	alarmed config.Version
	// reported is the content of the manifest and of the host list that was
	// reported as refused last, by key.
	reported map[string]config.Hash
	watching bool
	startup  startup
	// readFailures counts failed reads of the manifest since the last success.
	readFailures int
	nextRead     Instant
	// platformFrom is the end of the time that peers are given at a start.
	platformFrom Instant
	nextHostList Instant
	patch        patchCache
}

type document struct {
	hash config.Hash
	raw  []byte
}

// patchCache holds the last patch, since all peers ask for the same one.
type patchCache struct {
	from, to config.Hash
	patch    *generation.Patch
}

// wantedManifest is a version that peers have and this host does not.
type wantedManifest struct {
	version config.Version
	sources []string
	turn    int
	askAt   Instant
	// whole is set when a patch did not give the wanted version.
	whole bool
}

func (d *documents) init() {
	d.parts = make(map[config.Hash][]byte)
	d.reported = make(map[string]config.Hash)
}

// handleDocuments takes the parts of a message that are about documents.
func (s *State) handleDocuments(e PeerMessage) {
	m := &e.Message
	if m.Accepted != nil {
		s.notePeerVersion(*m.Accepted, e.Address)
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
		s.documentsLacking(m.Lacking)
	}
	s.requestDocuments()
}

// notePeerVersion notes that a peer has a version in force.
func (s *State) notePeerVersion(version config.Version, address string) {
	if !s.isNewer(version) || address == "" {
		return
	}
	if s.pending != nil && s.pending.version == version {
		s.pending.collection.AddSource(address)
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

// requestDocuments asks for what is missing and due.
func (s *State) requestDocuments() {
	s.requestManifest()
	if s.pending == nil {
		return
	}
	for _, request := range s.pending.collection.Requests(time.Duration(s.now)) {
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

// requestManifest asks one of the peers that have the wanted version, the next
// one when no answer came.
func (s *State) requestManifest() {
	w := s.documents.wanted
	if w == nil || s.now.Before(w.askAt) || len(w.sources) == 0 {
		return
	}
	address := w.sources[w.turn%len(w.sources)]
	w.turn++
	w.askAt = s.now.Add(manifestAnswer)
	request := &ManifestRequest{Version: w.version}
	if !w.whole {
		request.Have = s.documents.manifest.hash
	}
	s.send(address, Message{WantManifest: request})
}

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

// patchFrom returns the difference between the manifest before and the one in
// force, or nil when the receiver has neither.
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

func (s *State) applyPatch(patch *generation.Patch, from string) {
	if patch.Base != s.documents.manifest.hash {
		return
	}
	raw, err := generation.Apply(s.documents.manifest.raw, patch, maxDocument)
	if err != nil {
		s.patchFailed()
		return
	}
	s.out.add(ParseManifest{Raw: raw, From: from})
}

// patchFailed asks for the whole manifest.
func (s *State) patchFailed() {
	s.count(CounterConfigurations, "bad_patch")
	if w := s.documents.wanted; w != nil {
		w.whole = true
		w.askAt = s.now
	}
}

// expected reports whether a manifest from a peer is the one asked for. A patch
// that went wrong would otherwise pass for a version that nobody published.
func (s *State) expected(e ManifestRead) bool {
	w := s.documents.wanted
	if w == nil || w.version == e.Version {
		return w != nil
	}
	if !w.whole && w.version.Generation == e.Version.Generation {
		s.patchFailed()
	}
	return false
}

// serveParts sends the parts asked for, each in a message of its own, since
// one may be as large as 1 MB.
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

// documentsLacking asks the next source for what a peer does not have.
func (s *State) documentsLacking(hashes []config.Hash) {
	if w := s.documents.wanted; w != nil && slices.Contains(hashes, w.version.Hash) {
		w.askAt = s.now
	}
	if s.pending != nil {
		s.pending.collection.Failed(time.Duration(s.now), func(part generation.Part) bool {
			return slices.Contains(hashes, part.Hash)
		})
	}
}

func (s *State) partFailed(service string) {
	if s.pending == nil {
		return
	}
	s.pending.collection.Failed(time.Duration(s.now), func(part generation.Part) bool {
		return part.Service == service
	})
}

// documentFailed plans another read after a pause that grows.
func (s *State) documentFailed(key string) {
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

// tickDocuments repeats what was not answered. A host without a configuration
// that does not watch the platform reads it from there as well, since its
// peers may have none either.
func (s *State) tickDocuments() {
	s.updateWatchAtStart()
	s.requestDocuments()
	d := &s.documents
	if s.table == nil && !d.watching && !s.now.Before(d.nextRead) {
		d.nextRead = s.now.Add(generation.Backoff(d.readFailures))
		s.out.add(ReadManifest{})
	}
	if !s.now.Before(d.nextHostList) {
		d.nextHostList = s.now.Add(hostListRarely)
		if d.watching {
			d.nextHostList = s.now.Add(hostListEvery)
		}
		s.out.add(ReadHostList{})
	}
	s.updateReady()
}
