package core

import (
	"slices"
	"strconv"
	"time"

	"wisteriapond/config"
	"wisteriapond/generation"
)

const (
	// startupTime is the longest time for which a starting host waits for its
	// peers' versions before it takes requests.
	startupTime = 2 * time.Second
	// manifestAnswer is the wait for a manifest from a peer before another one
	// is asked.
	manifestAnswer = time.Second
	// maxManifestSources bounds the peers remembered as having a version.
	maxManifestSources = 8
	// maxRefused bounds the versions remembered as refused.
	maxRefused = 8
	// maxDocument is the size limit of documents, in bytes.
	maxDocument = 1 << 20
	// hostListEvery is the time between two reads of the host list by a host
	// that watches the platform, hostListRarely that of the others, who learn
	// leaving marks from their peers.
	hostListEvery  = time.Second
	hostListRarely = 30 * time.Second
	partKeyPrefix  = "services/"
	manifestKey    = "manifest"
	hostsKey       = "hosts"
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
}

// startup tracks what a starting host waits for.
type startup struct {
	until   Instant
	waiting []string
	over    bool
}

func (u *startup) answered(address string) {
	u.waiting = slices.DeleteFunc(u.waiting, func(other string) bool { return other == address })
}

func (d *documents) init() {
	d.parts = make(map[config.Hash][]byte)
	d.reported = make(map[string]config.Hash)
}

// pendingConfiguration is a version whose parts are being collected.
type pendingConfiguration struct {
	version    config.Version
	manifest   *config.Manifest
	raw        []byte
	collection *generation.Collection
	compiled   map[config.Hash]*config.CompiledService
	rawParts   map[config.Hash][]byte
}

func (s *State) inForce() config.Version {
	if s.table == nil {
		return config.Version{}
	}
	return s.table.Version
}

func (s *State) acceptedVersion() *config.Version {
	if s.table == nil {
		return nil
	}
	version := s.table.Version
	return &version
}

// startDocuments asks the platform and the peers for what is in force.
func (s *State) startDocuments(peers []string) {
	s.documents.startup = startup{until: s.now.Add(startupTime), waiting: slices.Clone(peers)}
	s.documents.nextHostList = s.now.Add(hostListEvery)
	s.out.add(ReadHostList{})
	s.updateWatch()
	s.wake(s.documents.startup.until)
}

// updateWatch starts or ends the watch of the manifest as members change.
func (s *State) updateWatch() {
	watches := generation.Watches(s.self.Host, s.members.LiveMembers())
	if watches == s.documents.watching {
		return
	}
	s.documents.watching = watches
	if watches {
		s.out.add(WatchManifest{Have: s.inForce()})
		return
	}
	s.out.add(StopWatching{})
}

// startupAnswer notes that a peer has answered a starting host.
func (s *State) startupAnswer(e PeerMessage) {
	if s.documents.startup.over {
		return
	}
	s.documents.startup.answered(e.Address)
	if e.Message.Membership != nil {
		s.documents.startup.answered(e.Message.Membership.Sender.Member.Address)
	}
	defer s.updateReady()
}

// documentsHeard takes the parts of a message that are about documents.
func (s *State) documentsHeard(e PeerMessage) {
	m := &e.Message
	if m.Accepted != nil {
		s.versionHeard(*m.Accepted, e.Address)
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

// versionHeard notes that a peer has a version in force.
func (s *State) versionHeard(version config.Version, address string) {
	if !s.isNews(version) || address == "" {
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

// isNews reports whether a version is higher than the one in force and was not
// refused. It raises an alarm for two documents of one generation: an operator
// has published a generation twice.
func (s *State) isNews(version config.Version) bool {
	force := s.inForce()
	if version == force {
		return false
	}
	if version.Generation == force.Generation && s.documents.alarmed != version {
		s.documents.alarmed = version
		s.count(CounterConfigurations, "conflict")
		s.out.add(Log{Level: LogError, Message: "two configurations have the same generation", Fields: []LogField{
			{Key: "generation", Value: strconv.FormatUint(version.Generation, 10)},
			{Key: "in_force", Value: string(force.Hash)},
			{Key: "other", Value: string(version.Hash)},
		}})
	}
	return force.Less(version) && !slices.Contains(s.documents.refused, version)
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

func sourceLabel(peer string) string {
	if peer == "" {
		return "service"
	}
	return "peer"
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
	request := &ManifestRequest{Version: w.version, Have: s.documents.manifest.hash}
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
		s.count(CounterConfigurations, "bad_patch")
		return
	}
	s.out.add(ParseManifest{Raw: raw, From: from})
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

// manifestRead begins to collect a version. Older versions and the one in
// force are ignored, since a version that was accepted never reverts.
func (s *State) manifestRead(e ManifestRead) {
	if e.From == "" {
		s.documents.readFailures = 0
		s.pauseAnswered()
		s.noteStale(e.Version)
	}
	if !s.isNews(e.Version) {
		return
	}
	if s.pending != nil && !s.pending.version.Less(e.Version) {
		return
	}
	if problems := config.CheckManifest(e.Manifest); len(problems) > 0 {
		s.refuseConfiguration(e.Version, problems)
		return
	}
	s.beginCollection(e)
	s.adoptWhenComplete()
	s.requestDocuments()
}

// noteStale reports a configuration service that is behind what is in force.
func (s *State) noteStale(version config.Version) {
	if !version.Less(s.inForce()) {
		return
	}
	s.count(CounterConfigurations, "stale")
	s.out.add(Log{Level: LogWarn, Message: "the configuration service is behind the version in force", Fields: []LogField{
		{Key: "generation", Value: strconv.FormatUint(version.Generation, 10)},
		{Key: "in_force", Value: strconv.FormatUint(s.inForce().Generation, 10)},
	}})
}

func (s *State) beginCollection(e ManifestRead) {
	before := s.pending
	s.pending = &pendingConfiguration{
		version:  e.Version,
		manifest: e.Manifest,
		raw:      e.Raw,
		compiled: make(map[config.Hash]*config.CompiledService),
		rawParts: make(map[config.Hash][]byte),
	}
	var missing []generation.Part
	for _, ref := range e.Manifest.Services {
		if !s.reusePart(before, ref.Hash) {
			missing = append(missing, generation.Part{Service: ref.Name, Hash: ref.Hash})
		}
	}
	s.pending.collection = generation.NewCollection(missing)
	if w := s.documents.wanted; w != nil && !e.Version.Less(w.version) {
		if w.version == e.Version {
			for _, source := range w.sources {
				s.pending.collection.AddSource(source)
			}
		}
		s.documents.wanted = nil
	}
	if address := s.addressOf(e.From); e.From != "" && address != "" {
		s.pending.collection.AddSource(address)
	}
}

// reusePart takes over a part that is in force or that came for a version
// which this one replaces.
func (s *State) reusePart(before *pendingConfiguration, hash config.Hash) bool {
	compiled, raw := s.parts[hash], s.documents.parts[hash]
	if compiled == nil && before != nil {
		compiled, raw = before.compiled[hash], before.rawParts[hash]
	}
	if compiled == nil {
		return false
	}
	s.pending.compiled[hash] = compiled
	s.pending.rawParts[hash] = raw
	return true
}

// partRead takes a part. One with another content than the manifest names
// comes from a service that is behind or ahead, and is read again.
func (s *State) partRead(e PartRead) {
	p := s.pending
	if p == nil {
		return
	}
	if !p.collection.Arrived(e.Hash) {
		s.partUnusable(e)
		s.requestDocuments()
		return
	}
	compiled, problems := config.CompileService(e.Service)
	if len(problems) > 0 {
		s.refuseConfiguration(p.version, problems)
		return
	}
	p.compiled[e.Hash] = compiled
	p.rawParts[e.Hash] = e.Raw
	s.adoptWhenComplete()
	s.requestDocuments()
}

func (s *State) partUnusable(e PartRead) {
	if e.From != "" || e.Service == nil {
		return
	}
	s.count(CounterConfigurations, "part_mismatch")
	s.partFailed(e.Service.Name)
}

func (s *State) partFailed(service string) {
	if s.pending == nil {
		return
	}
	s.pending.collection.Failed(time.Duration(s.now), func(part generation.Part) bool {
		return part.Service == service
	})
}

func (s *State) adoptWhenComplete() {
	p := s.pending
	if p == nil || p.collection.Missing() > 0 {
		return
	}
	services := make([]*config.CompiledService, 0, len(p.manifest.Services))
	for _, ref := range p.manifest.Services {
		services = append(services, p.compiled[ref.Hash])
	}
	table, problems := config.NewTable(p.version, p.manifest, services)
	if len(problems) > 0 {
		s.refuseConfiguration(p.version, problems)
		return
	}
	s.pending = nil
	s.parts = p.compiled
	s.documents.keep(p)
	s.adopt(table)
}

// keep makes the documents of a version available to peers.
func (d *documents) keep(p *pendingConfiguration) {
	d.previous = d.manifest
	d.manifest = document{hash: p.version.Hash, raw: p.raw}
	d.parts = p.rawParts
	d.patch = patchCache{}
}

func (s *State) adopt(table *config.Table) {
	s.table = table
	s.updateServices()
	s.updateLeases()
	s.updateBudget()
	s.shareLinks()
	s.count(CounterConfigurations, "accepted")
	s.out.add(Log{Message: "configuration accepted", Fields: []LogField{
		{Key: "generation", Value: strconv.FormatUint(table.Version.Generation, 10)},
		{Key: "hash", Value: string(table.Version.Hash)},
	}})
	s.sendTo(s.fanout(), Message{Accepted: s.acceptedVersion()})
	s.publishView()
	s.updateReady()
}

func (s *State) publishView() {
	view := View{Closing: s.stop.requested}
	if s.table != nil {
		view.HeaderNames = s.table.HeaderNames()
	}
	s.out.add(PublishView{View: view})
}

func (s *State) refuseConfiguration(version config.Version, problems []config.Problem) {
	texts := make([]string, 0, len(problems))
	for _, problem := range problems {
		texts = append(texts, problem.Error())
	}
	s.refuseVersion(version, texts)
}

// refuseVersion gives a version up. It changes nothing, and it does not hold
// up a later version.
func (s *State) refuseVersion(version config.Version, problems []string) {
	if s.pending != nil && s.pending.version == version {
		s.pending = nil
	}
	if w := s.documents.wanted; w != nil && w.version == version {
		s.documents.wanted = nil
	}
	if len(s.documents.refused) >= maxRefused {
		s.documents.refused = slices.Delete(s.documents.refused, 0, 1)
	}
	s.documents.refused = append(s.documents.refused, version)
	s.count(CounterConfigurations, "refused")
	for _, problem := range problems {
		s.out.add(Log{Level: LogError, Message: "configuration refused", Fields: []LogField{
			{Key: "generation", Value: strconv.FormatUint(version.Generation, 10)},
			{Key: "problem", Value: problem},
		}})
	}
}

// documentRefused gives up a version whose part is refused. A part that the
// manifest does not name comes from a service that is behind or ahead, and is
// read again without a report.
func (s *State) documentRefused(e DocumentRefused) {
	p, w := s.pending, s.documents.wanted
	switch {
	case p != nil && p.collection.Arrived(e.Hash):
		s.refuseVersion(p.version, e.Problems)
		s.requestDocuments()
		return
	case w != nil && w.version.Hash == e.Hash:
		s.refuseVersion(w.version, e.Problems)
		return
	case e.Key == manifestKey || e.Key == hostsKey || e.Hash == "":
		s.reportRefusal(e)
	}
	s.documentFailed(e.Key)
}

// reportRefusal reports the same content once, however often it is read.
// Content without a hash is always reported.
func (s *State) reportRefusal(e DocumentRefused) {
	if e.Hash != "" && s.documents.reported[e.Key] == e.Hash {
		return
	}
	message := "configuration refused"
	if e.Key == hostsKey {
		message = "host list refused"
		s.count(CounterPlatformFailures, "")
	} else {
		s.count(CounterConfigurations, "refused")
	}
	if e.Hash != "" {
		s.documents.reported[e.Key] = e.Hash
	}
	for _, problem := range e.Problems {
		s.out.add(Log{Level: LogError, Message: message, Fields: []LogField{{Key: "problem", Value: problem}}})
	}
}

func (s *State) platformFailed(e PlatformFailed) {
	s.count(CounterPlatformFailures, "")
	s.out.add(Log{Level: LogWarn, Message: "platform read failed", Fields: []LogField{
		{Key: "key", Value: e.Key},
		{Key: "reason", Value: e.Reason},
	}})
	s.documentFailed(e.Key)
}

// documentFailed plans another read after a pause that grows.
func (s *State) documentFailed(key string) {
	if key == manifestKey {
		s.documents.readFailures++
		s.documents.nextRead = s.now.Add(generation.Pause(s.documents.readFailures))
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
	s.requestDocuments()
	d := &s.documents
	if s.table == nil && !d.watching && !s.now.Before(d.nextRead) {
		d.nextRead = s.now.Add(generation.Pause(d.readFailures))
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

// startupOver reports whether a starting host has heard from every peer that
// it can reach and has the highest version they named, or has waited enough.
func (s *State) startupOver() bool {
	u := &s.documents.startup
	if u.over {
		return true
	}
	caughtUp := len(u.waiting) == 0 && s.documents.wanted == nil && s.pending == nil
	u.over = s.table != nil && (caughtUp || !s.now.Before(u.until))
	return u.over
}

func (s *State) updateReady() {
	ready := s.table != nil && s.startupOver() && !s.stop.requested
	if ready == s.ready {
		return
	}
	s.ready = ready
	s.out.add(SetReady{Ready: ready})
}
