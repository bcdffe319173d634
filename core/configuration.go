package core

import (
	"strconv"

	"wisteriapond/config"
)

// pendingConfiguration is a version whose parts are being collected.
type pendingConfiguration struct {
	version  config.Version
	manifest *config.Manifest
	missing  map[config.Hash]string
}

func (s *State) inForce() config.Version {
	if s.table == nil {
		return config.Version{}
	}
	return s.table.Version
}

// manifestRead begins to collect a version. Older versions and the one in
// force are ignored, since a version that was accepted never reverts.
func (s *State) manifestRead(e ManifestRead) {
	if !s.inForce().Less(e.Version) {
		return
	}
	if s.pending != nil && !s.pending.version.Less(e.Version) {
		return
	}
	if problems := config.CheckManifest(e.Manifest); len(problems) > 0 {
		s.refuseConfiguration(e.Version, problems)
		return
	}
	s.pending = &pendingConfiguration{
		version:  e.Version,
		manifest: e.Manifest,
		missing:  make(map[config.Hash]string),
	}
	for _, ref := range e.Manifest.Services {
		if s.parts[ref.Hash] != nil {
			continue
		}
		s.pending.missing[ref.Hash] = ref.Name
		s.out.add(ReadPart{Service: ref.Name, Hash: ref.Hash})
	}
	s.adoptWhenComplete()
}

func (s *State) partRead(e PartRead) {
	if s.pending == nil {
		return
	}
	if _, wanted := s.pending.missing[e.Hash]; !wanted {
		return
	}
	compiled, problems := config.CompileService(e.Service)
	if len(problems) > 0 {
		s.refuseConfiguration(s.pending.version, problems)
		s.pending = nil
		return
	}
	delete(s.pending.missing, e.Hash)
	s.parts[e.Hash] = compiled
	s.adoptWhenComplete()
}

func (s *State) adoptWhenComplete() {
	if len(s.pending.missing) > 0 {
		return
	}
	p := s.pending
	s.pending = nil
	services := make([]*config.CompiledService, 0, len(p.manifest.Services))
	kept := make(map[config.Hash]*config.CompiledService, len(p.manifest.Services))
	for _, ref := range p.manifest.Services {
		services = append(services, s.parts[ref.Hash])
		kept[ref.Hash] = s.parts[ref.Hash]
	}
	table, problems := config.NewTable(p.version, p.manifest, services)
	if len(problems) > 0 {
		s.refuseConfiguration(p.version, problems)
		return
	}
	s.parts = kept
	s.adopt(table)
}

func (s *State) adopt(table *config.Table) {
	s.table = table
	s.updateServices()
	s.shareLinks()
	s.count(CounterConfigurations, "accepted")
	s.out.add(Log{Message: "configuration accepted", Fields: []LogField{
		{Key: "generation", Value: strconv.FormatUint(table.Version.Generation, 10)},
		{Key: "hash", Value: string(table.Version.Hash)},
	}})
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
	s.count(CounterConfigurations, "refused")
	for _, problem := range problems {
		s.out.add(Log{Level: LogError, Message: "configuration refused", Fields: []LogField{
			{Key: "generation", Value: strconv.FormatUint(version.Generation, 10)},
			{Key: "problem", Value: problem.Error()},
		}})
	}
}

func (s *State) documentRefused(e DocumentRefused) {
	s.count(CounterConfigurations, "refused")
	for _, problem := range e.Problems {
		s.out.add(Log{Level: LogError, Message: "configuration refused", Fields: []LogField{
			{Key: "document", Value: e.Key},
			{Key: "problem", Value: problem},
		}})
	}
}

func (s *State) platformFailed(e PlatformFailed) {
	s.out.add(Log{Level: LogWarn, Message: "platform read failed", Fields: []LogField{
		{Key: "key", Value: e.Key},
		{Key: "reason", Value: e.Reason},
	}})
}

func (s *State) updateReady() {
	ready := s.table != nil && !s.stop.requested
	if ready == s.ready {
		return
	}
	s.ready = ready
	s.out.add(SetReady{Ready: ready})
}
