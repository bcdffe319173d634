package proof

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"wisteriapond/config"
	"wisteriapond/core"
)

// publish publishes a new generation at the configuration service. Its service
// part is rejected by entry hosts unless valid is set.
func (s *simulation) publish(valid bool) {
	generation := uint64(len(s.generations) + 1)
	part := s.part(generation, valid)
	hash := hashOf("part", generation, valid)
	manifest := &config.Manifest{
		Generation: generation,
		Services:   []config.ServiceRef{{Name: part.Name, Hash: hash}},
		EntryHosts: 4,
		Measuring:  config.Measuring{RequestsPerMinute: probesPerMinute, BytesPerMinute: probesPerMinute * probeBytes},
		Links:      config.Links{BytesPerSecond: 500_000_000, LongPercent: 50},
	}
	s.generations = append(s.generations, publishedConfig{
		version:  config.Version{Generation: generation, Hash: hashOf("manifest", generation, valid)},
		manifest: manifest,
		parts:    map[config.Hash]*config.Service{hash: part},
	})
}

const (
	probesPerMinute = 40
	probeBytes      = 8 << 10
)

func hashOf(kind string, generation uint64, valid bool) config.Hash {
	text := fmt.Sprintf("%s%d%v", kind, generation, valid)
	return config.Hash(fmt.Sprintf("%x%s", text, strings.Repeat("0", 64-2*len(text))))
}

func (s *simulation) part(generation uint64, valid bool) *config.Service {
	part := &config.Service{
		Name:      "catalogue",
		Match:     []config.Match{{PathPrefix: "/"}},
		Labels:    []config.LabelRule{{Label: "kind", Value: "archive", When: config.Match{PathPrefix: "/archive"}}},
		LongWhen:  []string{"kind=archive"},
		Timeout:   time.Second + time.Duration(generation)*time.Millisecond,
		Queue:     16,
		ColdStart: time.Second,
		NotRun:    config.NotRunForm{Status: notRunStatus, Header: "X-Not-Run", Value: "1"},
		Probe:     config.Probe{Path: "/health", Timeout: time.Second, AnswerLimit: 4 << 10},
	}
	if !valid {
		part.Queue = -1
	}
	for i := range backendHosts {
		part.Upstreams = append(part.Upstreams, config.Upstream{
			Name: backendName(i), Host: backendName(i), Address: backendAddress(i),
			Region: "mtl", FailureDomain: "mtl-a", Slots: slots, Connections: 220,
		})
	}
	return part
}

// documentBytes returns the bytes that represent a document. Peers send them to
// each other; parseManifest and parsePart map them back to the document.
func documentBytes(hash config.Hash) []byte { return []byte(hash) }

// readManifest delivers the manifest of a generation to a host. The manifest
// comes from the peer from, or from the configuration service if from is empty.
func (s *simulation) readManifest(h *entryHost, generation int, from string) {
	d := s.generations[generation-1]
	if from == "" {
		h.confirm(s.now)
	}
	s.step(h, core.ManifestRead{Version: d.version, Manifest: d.manifest, Raw: documentBytes(d.version.Hash), From: from})
}

// readPart completes the i-th pending read of a host from the configuration
// service.
func (s *simulation) readPart(h *entryHost, i int) {
	read := h.reads[i]
	h.reads = slices.Delete(h.reads, i, i+1)
	s.parsePart(h, documentBytes(read.Hash), "")
}

// parsePart delivers the service part with the given bytes to a host.
func (s *simulation) parsePart(h *entryHost, raw []byte, from string) {
	for _, d := range s.generations {
		if part := d.parts[config.Hash(raw)]; part != nil {
			s.step(h, core.PartRead{Hash: config.Hash(raw), Service: part, Raw: raw, From: from})
			return
		}
	}
}

// parseManifest delivers the manifest with the given bytes to a host.
func (s *simulation) parseManifest(h *entryHost, raw []byte, from string) {
	for i, d := range s.generations {
		if string(d.version.Hash) == string(raw) {
			s.readManifest(h, i+1, from)
			return
		}
	}
}

// declare sets the state of a backend host in the host list of the platform.
// Earlier lists are kept, since hosts may read a lagging one.
func (s *simulation) declare(host string, leaving bool) {
	s.pastHostLists = append(s.pastHostLists, slices.Clone(s.hostList))
	for i := range s.hostList {
		if s.hostList[i].Host == host && s.hostList[i].Leaving != leaving {
			s.hostList[i].Leaving = leaving
			s.hostList[i].Epoch++
		}
	}
}

// readHostList delivers the host list to a host, as it was lag changes ago.
func (s *simulation) readHostList(h *entryHost, lag int) {
	list := s.hostList
	if lag > 0 && len(s.pastHostLists) >= lag {
		list = s.pastHostLists[len(s.pastHostLists)-lag]
	}
	h.recordLeaving(s.now, list)
	h.confirm(s.now)
	s.step(h, core.HostListRead{Hosts: slices.Clone(list)})
}

// recordLeaving records for the oracle since when the host has known each
// leaving host.
func (h *entryHost) recordLeaving(now core.Instant, list []core.HostEntry) {
	for _, entry := range list {
		_, known := h.leavingSince[entry.Host]
		if entry.Leaving && !known {
			h.leavingSince[entry.Host] = now
		}
	}
}

// deliver delivers a message to its receiver. It is dropped if the receiver is
// paused or has exited.
func (s *simulation) deliver(p packet) {
	for _, h := range s.hosts {
		if h.address != p.to || h.paused || h.exited || h == p.from {
			continue
		}
		h.recordLeaving(s.now, p.message.Hosts)
		if p.message.Reply != 0 {
			h.confirm(s.now)
		}
		s.step(h, core.PeerMessage{From: p.from.name, Address: p.from.address, Message: p.message})
	}
}
