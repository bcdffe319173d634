package core_test

import (
	"cmp"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"wisteriapond/config"
	"wisteriapond/core"
	"wisteriapond/outcome"
)

// deployment simulates the reducers of several entry hosts, the messages between
// them and the platform, on a virtual clock.
type deployment struct {
	now     core.Instant
	hosts   []*simulatedHost
	byName  map[string]*simulatedHost
	network []packet
	random  uint64
	// delay is the one-way delay. lossPercent and duplicatePercent are the
	// percentages of messages that are lost and delivered twice.
	delay            time.Duration
	lossPercent      int
	duplicatePercent int
	partitioned      func(a, b *simulatedHost) bool

	documents    map[config.Hash]any
	manifest     config.Hash
	platformDown bool
	partsMissing bool
	hostList     []core.HostEntry

	// measuring enables the counters of messages sent, of their bytes, and of the
	// bytes received by each host. It also enables stepTime.
	measuring bool
	sent      int
	bytes     int
	received  map[string]int
	// stepTime is the time spent in the reducers.
	stepTime time.Duration
	counters map[string]int64
	probes   []probe
	starts   []attemptStart

	// effectLog receives a description of every effect, if it is set.
	effectLog io.Writer

	// serviceTime is the time that backend servers take for a request; 0 means
	// that they never respond.
	serviceTime time.Duration
	responses   []pendingResponse
}

type simulatedHost struct {
	name     string
	region   string
	state    *core.State
	effects  core.Effects
	lastTick core.Instant
	wakeAt   core.Instant
	paused   bool
	stopped  bool
	ready    bool
	watching bool
	// watched is the manifest last returned by the watch.
	watched  config.Hash
	watchAt  core.Instant
	version  config.Version
	run      int
	nextID   core.RequestID
	reverted bool
}

type packet struct {
	at       core.Instant
	from, to string
	message  core.Message
}

type probe struct {
	at      core.Instant
	address string
}

type pendingResponse struct {
	at      core.Instant
	host    *simulatedHost
	run     int
	attempt core.AttemptID
}

type attemptStart struct {
	at      core.Instant
	address string
}

const (
	clockStep = 10 * time.Millisecond
	// probesPerHost is each host's share of the measuring budget per minute.
	probesPerHost = 20
)

func newDeployment(hosts int) *deployment {
	w := &deployment{
		delay:       2 * time.Millisecond,
		partitioned: func(*simulatedHost, *simulatedHost) bool { return false },
		documents:   make(map[config.Hash]any),
		counters:    make(map[string]int64),
		received:    make(map[string]int),
		random:      1,
	}
	w.byName = make(map[string]*simulatedHost)
	for i := range hosts {
		h := &simulatedHost{name: fmt.Sprintf("entry-%03d", i), region: "mtl", stopped: true}
		w.hosts = append(w.hosts, h)
		w.byName[h.name] = h
	}
	return w
}

func (w *deployment) intN(n int) int {
	w.random = w.random*6364136223846793005 + 1442695040888963407
	return int(w.random>>33) % n
}

// start starts a new run of a host. Its first peers are the first three hosts.
func (w *deployment) start(h *simulatedHost) {
	h.run++
	h.stopped, h.paused, h.ready, h.watching = false, false, false, false
	h.state = core.New()
	h.version = config.Version{}
	h.lastTick, h.wakeAt = w.now, 0
	var peers []string
	for _, other := range w.hosts[:min(3, len(w.hosts))] {
		if other != h {
			peers = append(peers, other.name)
		}
	}
	w.step(h, core.Start{
		Host: h.name, Address: h.name, Region: h.region, FailureDomain: h.region + "-a",
		Seed: uint64(h.run)*1000 + uint64(len(h.name)) + uint64(slices.Index(w.hosts, h)),
		// The incarnation increases with each run.
		Incarnation: uint64(w.now) + uint64(h.run), Peers: peers, AcceptFor: time.Second,
	})
}

// launch publishes the first configuration, starts all hosts and runs them for d.
func (w *deployment) launch(d time.Duration, services ...*config.Service) *deployment {
	w.publish(1, services...)
	w.startAll()
	w.run(d)
	return w
}

func (w *deployment) startAll() {
	for _, h := range w.hosts {
		w.start(h)
	}
}

func (w *deployment) step(h *simulatedHost, event core.Event) {
	if w.measuring {
		start := time.Now()
		h.state.Step(w.now, event, &h.effects)
		w.stepTime += time.Since(start)
	} else {
		h.state.Step(w.now, event, &h.effects)
	}
	w.applyEffects(h)
}

func (w *deployment) applyEffects(h *simulatedHost) {
	effects := slices.Clone(h.effects.All())
	h.effects.Reset()
	for _, effect := range effects {
		if w.effectLog != nil {
			fmt.Fprintln(w.effectLog, h.name, describeEffect(effect))
		}
		w.applyEffect(h, effect)
	}
}

// describeEffect describes an effect. A message is written in encoded form, since
// it may contain pointers, whose addresses differ from run to run.
func describeEffect(effect core.Effect) string {
	if e, ok := effect.(core.SendPeer); ok {
		return fmt.Sprintf("to %s: %x", e.Address, encode(e.Message))
	}
	return fmt.Sprintf("%T%+v", effect, effect)
}

func (w *deployment) applyEffect(h *simulatedHost, effect core.Effect) {
	switch e := effect.(type) {
	case core.SendPeer:
		w.send(h, e)
	case core.WakeAt:
		if h.wakeAt <= w.now || e.At < h.wakeAt {
			h.wakeAt = e.At
		}
	case core.SetReady:
		h.ready = e.Ready
	case core.WatchManifest:
		h.watching, h.watched, h.watchAt = true, "", 0
		w.watch(h)
	case core.StopWatching:
		h.watching = false
	case core.ReadManifest:
		w.readManifest(h)
	case core.ReadPart:
		w.readPart(h, e)
	case core.ReadHostList:
		if !w.platformDown && w.hostList != nil {
			w.step(h, core.HostListRead{Hosts: w.hostList})
		}
	case core.ParseManifest:
		w.parseManifest(h, e.Raw, e.From)
	case core.ParsePart:
		w.parsePart(h, e.Raw, e.From)
	case core.StartProbe:
		w.probes = append(w.probes, probe{at: w.now, address: e.Address})
		w.step(h, core.ProbeFinished{Service: e.Service, Upstream: e.Upstream, Took: time.Millisecond})
	case core.StartAttempt:
		w.starts = append(w.starts, attemptStart{at: w.now, address: e.Address})
		if w.serviceTime > 0 {
			w.responses = append(w.responses, pendingResponse{at: w.now.Add(w.serviceTime), host: h, run: h.run, attempt: e.Attempt})
		}
	case core.Count:
		w.counters[string(e.Counter)+"/"+e.Label] += e.Add
	case core.Exit:
		h.stopped = true
	}
}

func (w *deployment) send(h *simulatedHost, e core.SendPeer) {
	if w.measuring {
		size := len(encode(e.Message))
		w.sent++
		w.bytes += size
		w.received[e.Address] += size
	}
	if w.intN(100) < w.lossPercent {
		return
	}
	for range 1 + (w.duplicatePercent+w.intN(100))/100 {
		jitter := time.Duration(w.intN(int(w.delay/2) + 1))
		w.network = append(w.network, packet{at: w.now.Add(w.delay + jitter), from: h.name, to: e.Address, message: e.Message})
	}
}

func (w *deployment) run(d time.Duration, each ...func()) {
	for end := w.now.Add(d); w.now < end; {
		w.now = w.now.Add(clockStep)
		w.deliver()
		w.deliverResponses()
		for _, h := range w.hosts {
			w.tickIfDue(h)
		}
		for _, f := range each {
			f()
		}
	}
}

// deliverResponses ends the attempts whose response is due.
func (w *deployment) deliverResponses() {
	for len(w.responses) > 0 && w.responses[0].at <= w.now {
		a := w.responses[0]
		w.responses = w.responses[1:]
		if a.host.run == a.run && !a.host.stopped && !a.host.paused {
			facts := outcome.Facts{Wrote: true, Status: 200, Load: -1}
			w.step(a.host, core.AttemptFinished{Attempt: a.attempt, Facts: facts})
		}
	}
}

func (w *deployment) deliver() {
	var due []packet
	w.network = slices.DeleteFunc(w.network, func(p packet) bool {
		if p.at <= w.now {
			due = append(due, p)
		}
		return p.at <= w.now
	})
	slices.SortStableFunc(due, func(a, b packet) int { return cmp.Compare(a.at, b.at) })
	for _, p := range due {
		from, to := w.host(p.from), w.host(p.to)
		if to == nil || to.stopped || to.paused || w.partitioned(from, to) {
			continue
		}
		w.step(to, core.PeerMessage{From: p.from, Address: p.from, Message: p.message})
	}
}

func (w *deployment) host(name string) *simulatedHost { return w.byName[name] }

func (w *deployment) tickIfDue(h *simulatedHost) {
	if h.stopped || h.paused {
		return
	}
	w.watch(h)
	due := w.now >= h.lastTick.Add(core.TickInterval)
	if h.wakeAt > 0 && w.now >= h.wakeAt {
		due = true
		h.wakeAt = 0
	}
	if due {
		h.lastTick = w.now
		w.step(h, core.Tick{})
	}
}

func (w *deployment) status(h *simulatedHost) core.Status {
	h.state.Step(w.now, core.StatusRequested{}, &h.effects)
	var status core.Status
	for _, effect := range h.effects.All() {
		if report, ok := effect.(core.ReportStatus); ok {
			status = report.Status
		}
	}
	w.applyEffects(h)
	return status
}

// liveHosts returns the hosts that are neither stopped nor paused.
func (w *deployment) liveHosts() []*simulatedHost {
	var live []*simulatedHost
	for _, h := range w.hosts {
		if !h.stopped && !h.paused {
			live = append(live, h)
		}
	}
	return live
}

// fakeHash returns a hash that starts with the text.
func fakeHash(text string) config.Hash {
	return config.Hash(text + strings.Repeat("0", 64-len(text)))
}

// publish publishes a configuration on the configuration service and returns its
// version. The bytes of a document start with its hash.
func (w *deployment) publish(generation int, services ...*config.Service) config.Version {
	manifest := &config.Manifest{
		Generation: uint64(generation),
		EntryHosts: len(w.hosts),
		Measuring:  config.Measuring{RequestsPerMinute: probesPerHost * len(w.hosts), BytesPerMinute: 1 << 30},
		Links:      config.Links{BytesPerSecond: 500_000_000, LongPercent: 50},
	}
	text := fmt.Sprintf("%x,", generation)
	for _, service := range services {
		ref := config.ServiceRef{Name: service.Name, Hash: fakeHash(fmt.Sprintf("%x", service.Name+service.Timeout.String()))}
		w.documents[ref.Hash] = service
		manifest.Services = append(manifest.Services, ref)
		text += fmt.Sprintf("%q:%q,", ref.Name, ref.Hash)
	}
	version := config.Version{Generation: uint64(generation), Hash: fakeHash(fmt.Sprintf("%x%x", generation, len(w.documents)))}
	w.documents[version.Hash] = core.ManifestRead{
		Version: version, Manifest: manifest, Raw: append([]byte(version.Hash+","), text...),
	}
	w.manifest = version.Hash
	for _, h := range w.liveHosts() {
		w.watch(h)
	}
	return version
}

// watch returns the manifest to a host with an open watch if it differs from the
// last one. Like the transport, it retries a failed watch after one second.
func (w *deployment) watch(h *simulatedHost) {
	if !h.watching || h.watched == w.manifest || w.now < h.watchAt {
		return
	}
	if w.platformDown {
		h.watchAt = w.now.Add(time.Second)
	} else {
		h.watched = w.manifest
	}
	w.readManifest(h)
}

// newService returns a service with the given number of upstreams, one on each
// backend host.
func newService(name string, upstreams int) *config.Service {
	s := &config.Service{
		Name:      name,
		Match:     []config.Match{{PathPrefix: "/" + name}},
		Timeout:   time.Second,
		Queue:     16,
		ColdStart: time.Second,
		Probe:     config.Probe{Path: "/health", Timeout: time.Second, AnswerLimit: 4 << 10},
	}
	for i := range upstreams {
		s.Upstreams = append(s.Upstreams, config.Upstream{
			Name: fmt.Sprint("u", i), Host: fmt.Sprint("backend-", i), Address: fmt.Sprintf("%s-%d", name, i),
			Region: "mtl", FailureDomain: "mtl-a", Slots: 3, Connections: 220,
		})
	}
	return s
}

func (w *deployment) readManifest(h *simulatedHost) {
	if w.platformDown {
		w.step(h, core.PlatformFailed{Key: "manifest", Reason: "down"})
		return
	}
	if read, ok := w.documents[w.manifest].(core.ManifestRead); ok {
		w.step(h, read)
	}
}

func (w *deployment) readPart(h *simulatedHost, e core.ReadPart) {
	part, ok := w.documents[e.Hash].(*config.Service)
	if w.platformDown || w.partsMissing || !ok {
		w.step(h, core.PlatformFailed{Key: "services/" + e.Service, Reason: "down"})
		return
	}
	w.step(h, core.PartRead{Hash: e.Hash, Service: part, Raw: partBytes(e.Hash)})
}

// partBytes returns the contents of a document of 5 KB, the usual size of a part.
func partBytes(hash config.Hash) []byte {
	return append([]byte(hash), make([]byte, 5<<10)...)
}

func (w *deployment) parseManifest(h *simulatedHost, raw []byte, from string) {
	if read, ok := w.documents[config.Hash(raw[:64])].(core.ManifestRead); ok {
		read.From, read.Raw = from, raw
		w.step(h, read)
	}
}

func (w *deployment) parsePart(h *simulatedHost, raw []byte, from string) {
	hash := config.Hash(raw[:64])
	if part, ok := w.documents[hash].(*config.Service); ok {
		w.step(h, core.PartRead{Hash: hash, Service: part, Raw: raw, From: from})
	}
}

// encode returns the message as CBOR with numbered fields in a fixed order,
// without fields of zero value. Its size approximates what the transport sends.
func encode(message core.Message) []byte {
	raw, err := encoder.Marshal(compact(reflect.ValueOf(message)))
	if err != nil {
		panic(err)
	}
	return raw
}

var encoder, _ = cbor.CoreDetEncOptions().EncMode()

// compact converts a value to maps of numbered fields, without fields of zero value.
func compact(v reflect.Value) any {
	switch v.Kind() {
	case reflect.Pointer:
		return compact(v.Elem())
	case reflect.Struct:
		fields := make(map[int]any)
		for i := range v.NumField() {
			if !v.Field(i).IsZero() {
				fields[i+1] = compact(v.Field(i))
			}
		}
		return fields
	case reflect.Slice:
		if raw, ok := v.Interface().([]byte); ok {
			return raw
		}
		list := make([]any, 0, v.Len())
		for i := range v.Len() {
			list = append(list, compact(v.Index(i)))
		}
		return list
	}
	return v.Interface()
}
