package core

import (
	"slices"
	"strconv"

	"wisteriapond/config"
	"wisteriapond/generation"
)

const (
	// maxRefusedVersions bounds the list of refused versions. The oldest entry is
	// dropped first.
	maxRefusedVersions = 8
	partKeyPrefix      = "services/"
	manifestKey        = "manifest"
	hostsKey           = "hosts"
)

// pendingConfiguration is a version whose manifest has been read and whose
// service parts are still being collected.
type pendingConfiguration struct {
	version  config.Version
	manifest *config.Manifest
	raw      []byte
	fetcher  *generation.Fetcher
	compiled map[config.Hash]*config.CompiledService
	rawParts map[config.Hash][]byte
}

// inForce returns the version in force, or the zero Version before the first one.
func (s *State) inForce() config.Version {
	if s.table == nil {
		return config.Version{}
	}
	return s.table.Version
}

// acceptedVersion returns the version in force as it is announced to peers, or nil
// before the first one.
func (s *State) acceptedVersion() *config.Version {
	if s.table == nil {
		return nil
	}
	version := s.table.Version
	return &version
}

// isNewer reports whether a version is higher than the one in force and has not
// been refused. It logs and counts a conflict when the version differs from the one
// in force but has the same generation: an operator has published a generation
// twice. The same version is not reported twice in a row.
func (s *State) isNewer(version config.Version) bool {
	current := s.inForce()
	if version == current {
		return false
	}
	if version.Generation == current.Generation && s.documents.reportedConflict != version {
		s.documents.reportedConflict = version
		s.count(CounterConfigurations, "conflict")
		s.out.add(Log{Level: LogError, Message: "two configurations have the same generation", Fields: []LogField{
			{Key: "generation", Value: strconv.FormatUint(version.Generation, 10)},
			{Key: "in_force", Value: string(current.Hash)},
			{Key: "other", Value: string(version.Hash)},
		}})
	}
	return current.Less(version) && !slices.Contains(s.documents.refusedVersions, version)
}

func sourceLabel(peer string) string {
	if peer == "" {
		return "service"
	}
	return "peer"
}

// manifestRead starts to collect the parts of a version. Older versions and the
// one in force are ignored, so that an accepted version is never reverted.
func (s *State) manifestRead(e ManifestRead) {
	if e.From == "" {
		s.documents.readFailures = 0
		s.confirmFromPlatform()
		s.reportStaleService(e.Version)
	} else if !s.isExpectedManifest(e) {
		s.requestDocuments()
		return
	}
	if !s.isNewer(e.Version) {
		return
	}
	if s.pending != nil && !s.pending.version.Less(e.Version) {
		return
	}
	if problems := config.CheckManifest(e.Manifest); len(problems) > 0 {
		s.refuseConfiguration(e.Version, problems)
		return
	}
	s.startFetch(e)
	s.adoptWhenComplete()
	s.requestDocuments()
}

// reportStaleService logs and counts a configuration service that returned an
// older version than the one in force.
func (s *State) reportStaleService(version config.Version) {
	if !version.Less(s.inForce()) {
		return
	}
	s.count(CounterConfigurations, "stale")
	s.out.add(Log{Level: LogWarn, Message: "the configuration service is behind the version in force", Fields: []LogField{
		{Key: "generation", Value: strconv.FormatUint(version.Generation, 10)},
		{Key: "in_force", Value: strconv.FormatUint(s.inForce().Generation, 10)},
	}})
}

// startFetch makes the version of e the pending one and determines which of its
// parts are missing and from which peers they can be requested.
func (s *State) startFetch(e ManifestRead) {
	replaced := s.pending
	s.pending = &pendingConfiguration{
		version:  e.Version,
		manifest: e.Manifest,
		raw:      e.Raw,
		compiled: make(map[config.Hash]*config.CompiledService),
		rawParts: make(map[config.Hash][]byte),
	}
	var missing []generation.Part
	for _, ref := range e.Manifest.Services {
		if !s.reusePart(replaced, ref.Hash) {
			missing = append(missing, generation.Part{Service: ref.Name, Hash: ref.Hash})
		}
	}
	s.pending.fetcher = generation.NewFetcher(missing)
	if w := s.documents.wanted; w != nil && !e.Version.Less(w.version) {
		if w.version == e.Version {
			for _, source := range w.sources {
				s.pending.fetcher.AddSource(source)
			}
		}
		s.documents.wanted = nil
	}
	if s.table == nil {
		for _, peer := range s.members.Sample(startupSources) {
			s.pending.fetcher.AddSource(peer.Address)
		}
	}
	if address := s.addressOf(e.From); e.From != "" && address != "" {
		s.pending.fetcher.AddSource(address)
	}
}

// reusePart adds a part to the pending version without requesting it, if the
// part is in force or was received for the pending version that this one
// replaces. It reports whether the part was found.
func (s *State) reusePart(replaced *pendingConfiguration, hash config.Hash) bool {
	compiled, raw := s.parts[hash], s.documents.parts[hash]
	if compiled == nil && replaced != nil {
		compiled, raw = replaced.compiled[hash], replaced.rawParts[hash]
	}
	if compiled == nil {
		return false
	}
	s.pending.compiled[hash] = compiled
	s.pending.rawParts[hash] = raw
	return true
}

// partRead adds a part to the pending version. A part whose hash the manifest
// does not list comes from a configuration service that is at an older or newer
// version, and is read again.
func (s *State) partRead(e PartRead) {
	p := s.pending
	if p == nil {
		return
	}
	if !p.fetcher.MarkReceived(e.Hash) {
		s.handlePartMismatch(e)
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

// handlePartMismatch counts a part from the configuration service that the pending
// version does not need, and schedules another read of it. Parts from peers are
// ignored.
func (s *State) handlePartMismatch(e PartRead) {
	if e.From != "" || e.Service == nil {
		return
	}
	s.count(CounterConfigurations, "part_mismatch")
	s.partFailed(e.Service.Name)
}

// adoptWhenComplete puts the pending version in force once no part is missing, or
// refuses it if its documents are inconsistent.
func (s *State) adoptWhenComplete() {
	p := s.pending
	if p == nil || p.fetcher.MissingCount() > 0 {
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
	s.documents.retain(p)
	s.adopt(table)
}

// retain keeps the raw documents of an accepted version, from which requests of
// peers are served.
func (d *documents) retain(p *pendingConfiguration) {
	d.previous = d.manifest
	d.manifest = document{hash: p.version.Hash, raw: p.raw}
	d.parts = p.rawParts
	d.patch = patchCache{}
}

// adopt puts a table in force and announces its version to peers.
func (s *State) adopt(table *config.Table) {
	var emptied []string
	if s.table != nil {
		emptied = s.table.Manifest.EmptiedDomains
	}
	s.table = table
	s.reportConfiguredDomains(emptied)
	s.updateServices()
	if table.Routed() {
		s.applyRouteRegions()
	} else {
		// A routed table has neither shared slots nor deployment-wide budgets, so
		// there is nothing to coordinate with other hosts.
		s.updateLeases()
		s.updateBudget()
		s.updateAllTransferRates()
	}
	s.count(CounterConfigurations, "accepted")
	s.out.add(Log{Message: "configuration accepted", Fields: []LogField{
		{Key: "generation", Value: strconv.FormatUint(table.Version.Generation, 10)},
		{Key: "hash", Value: string(table.Version.Hash)},
	}})
	s.sendToAll(s.propagationTargets(), Message{Accepted: s.acceptedVersion()})
	s.publishView()
	s.updateReady()
}

func (s *State) publishView() {
	view := View{Closing: s.stop.requested}
	if s.table != nil {
		view.HeaderNames = s.table.HeaderNames()
		view.Limits = s.table.Limits
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

// refuseVersion rejects a version. The version in force stays as it is, and
// later versions are not blocked.
func (s *State) refuseVersion(version config.Version, problems []string) {
	if s.pending != nil && s.pending.version == version {
		s.pending = nil
	}
	if w := s.documents.wanted; w != nil && w.version == version {
		s.documents.wanted = nil
	}
	if len(s.documents.refusedVersions) >= maxRefusedVersions {
		s.documents.refusedVersions = slices.Delete(s.documents.refusedVersions, 0, 1)
	}
	s.documents.refusedVersions = append(s.documents.refusedVersions, version)
	s.count(CounterConfigurations, "refused")
	for _, problem := range problems {
		s.out.add(Log{Level: LogError, Message: "configuration refused", Fields: []LogField{
			{Key: "generation", Value: strconv.FormatUint(version.Generation, 10)},
			{Key: "problem", Value: problem},
		}})
	}
}

// documentRefused handles a document that failed validation. A part of the
// pending version, or the manifest wanted from peers, causes that version to be
// refused. A part that the manifest does not list comes from a configuration
// service that is at an older or newer version, and is read again without a
// report. Any other manifest, the host list and content without a hash are
// reported.
func (s *State) documentRefused(e DocumentRefused) {
	p, w := s.pending, s.documents.wanted
	switch {
	case p != nil && p.fetcher.MarkReceived(e.Hash):
		s.refuseVersion(p.version, e.Problems)
		s.requestDocuments()
		return
	case w != nil && w.version.Hash == e.Hash:
		s.refuseVersion(w.version, e.Problems)
		return
	case e.Key == manifestKey || e.Key == hostsKey || e.Hash == "":
		s.reportRefusal(e)
	}
	s.handleReadFailure(e.Key)
}

// reportRefusal logs and counts a refused document. The same content is reported
// once, however often it is read. Content without a hash is always reported.
func (s *State) reportRefusal(e DocumentRefused) {
	if e.Hash != "" && s.documents.reportedRefusals[e.Key] == e.Hash {
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
		s.documents.reportedRefusals[e.Key] = e.Hash
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
	s.handleReadFailure(e.Key)
}
