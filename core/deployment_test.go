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
	// partitioned reports whether messages between two hosts are dropped.
	partitioned func(a, b *simulatedHost) bool

	// documents holds the published manifests and parts, and manifest is the hash of
	// the manifest that the configuration service returns.
	documents map[config.Hash]any
	manifest  config.Hash
	// platformDown makes the reads of manifests and parts fail, partsMissing only those
	// of parts.
	platformDown bool
	partsMissing bool
	// hostList is the host list, or nil if reads of it get no response.
	hostList []core.HostEntry

	// measuring enables the counters of messages sent, of their bytes, and of the
	// bytes received by each host. It also enables stepTime.
	measuring bool
	sent      int
	bytes     int
	received  map[string]int
	// stepTime is the time spent in the reducers.
	stepTime time.Duration
	// counters holds the sums of all hosts by "counter/label".
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

// simulatedHost is an entry host of a deployment: its reducer and the state that the
// runtime keeps for it.
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
	// watched is the manifest last returned by the watch, and watchAt is the time of
	// the next retry after a failed watch.
	watched config.Hash
	watchAt core.Instant
	// version is the version in force when reverts were last recorded, and reverted
	// is set once it has become lower.
	version config.Version
	// run counts the starts of the host.
	run      int
	nextID   core.RequestID
	reverted bool
}

// packet is a message on its way to a host.
type packet struct {
	at       core.Instant
	from, to string
	message  core.Message
}

// probe records the start of a probe.
type probe struct {
	at      core.Instant
	address string
}

// pendingResponse is the response of a backend server to an attempt. Only the run of
// the host that started the attempt receives it.
type pendingResponse struct {
	at      core.Instant
	host    *simulatedHost
	run     int
	attempt core.AttemptID
}

// attemptStart records the start of an attempt.
type attemptStart struct {
	at      core.Instant
	address string
}

const (
	// clockStep is the resolution of the virtual clock.
	clockStep = 10 * time.Millisecond
	// probesPerHost is each host's share of the measuring budget per minute.
	probesPerHost = 20
)

// newDeployment returns a deployment of the given number of stopped hosts without a
// configuration.
func newDeployment(hosts int) *deployment {
	d := &deployment{
		delay:       2 * time.Millisecond,
		partitioned: func(*simulatedHost, *simulatedHost) bool { return false },
		documents:   make(map[config.Hash]any),
		counters:    make(map[string]int64),
		received:    make(map[string]int),
		random:      1,
	}
	d.byName = make(map[string]*simulatedHost)
	for i := range hosts {
		h := &simulatedHost{name: fmt.Sprintf("entry-%03d", i), region: "mtl", stopped: true}
		d.hosts = append(d.hosts, h)
		d.byName[h.name] = h
	}
	return d
}

// intN returns a pseudo-random number in [0, n).
func (d *deployment) intN(n int) int {
	d.random = d.random*6364136223846793005 + 1442695040888963407
	return int(d.random>>33) % n
}

// start starts a new run of a host. Its first peers are the first three hosts.
func (d *deployment) start(h *simulatedHost) {
	h.run++
	h.stopped, h.paused, h.ready, h.watching = false, false, false, false
	h.state = core.New()
	h.version = config.Version{}
	h.lastTick, h.wakeAt = d.now, 0
	var peers []string
	for _, other := range d.hosts[:min(3, len(d.hosts))] {
		if other != h {
			peers = append(peers, other.name)
		}
	}
	d.step(h, core.Start{
		Host: h.name, Address: h.name, Region: h.region, FailureDomain: h.region + "-a",
		Seed: uint64(h.run)*1000 + uint64(len(h.name)) + uint64(slices.Index(d.hosts, h)),
		// The incarnation increases with each run.
		Incarnation: uint64(d.now) + uint64(h.run), Peers: peers, AcceptFor: time.Second,
	})
}

// launch publishes the first configuration, starts all hosts and runs them for the
// given duration.
func (d *deployment) launch(duration time.Duration, services ...*config.Service) *deployment {
	d.publish(1, services...)
	d.startAll()
	d.run(duration)
	return d
}

// startAll starts all hosts.
func (d *deployment) startAll() {
	for _, h := range d.hosts {
		d.start(h)
	}
}

// step applies an event to the reducer of a host and carries out its effects.
func (d *deployment) step(h *simulatedHost, event core.Event) {
	if d.measuring {
		start := time.Now()
		h.state.Step(d.now, event, &h.effects)
		d.stepTime += time.Since(start)
	} else {
		h.state.Step(d.now, event, &h.effects)
	}
	d.applyEffects(h)
}

// applyEffects carries out the pending effects of a host.
func (d *deployment) applyEffects(h *simulatedHost) {
	effects := slices.Clone(h.effects.All())
	h.effects.Reset()
	for _, effect := range effects {
		if d.effectLog != nil {
			fmt.Fprintln(d.effectLog, h.name, describeEffect(effect))
		}
		d.applyEffect(h, effect)
	}
}

// describeEffect returns a description of an effect that is the same in each run. A
// message is written in encoded form, since it may contain pointers, whose addresses
// differ.
func describeEffect(effect core.Effect) string {
	if e, ok := effect.(core.SendPeer); ok {
		return fmt.Sprintf("to %s: %x", e.Address, encode(e.Message))
	}
	return fmt.Sprintf("%T%+v", effect, effect)
}

func (d *deployment) applyEffect(h *simulatedHost, effect core.Effect) {
	switch e := effect.(type) {
	case core.SendPeer:
		d.send(h, e)
	case core.WakeAt:
		if h.wakeAt <= d.now || e.At < h.wakeAt {
			h.wakeAt = e.At
		}
	case core.SetReady:
		h.ready = e.Ready
	case core.WatchManifest:
		h.watching, h.watched, h.watchAt = true, "", 0
		d.watch(h)
	case core.StopWatching:
		h.watching = false
	case core.ReadManifest:
		d.readManifest(h)
	case core.ReadPart:
		d.readPart(h, e)
	case core.ReadHostList:
		if !d.platformDown && d.hostList != nil {
			d.step(h, core.HostListRead{Hosts: d.hostList})
		}
	case core.ParseManifest:
		d.parseManifest(h, e.Raw, e.From)
	case core.ParsePart:
		d.parsePart(h, e.Raw, e.From)
	case core.StartProbe:
		d.probes = append(d.probes, probe{at: d.now, address: e.Address})
		d.step(h, core.ProbeFinished{Service: e.Service, Upstream: e.Upstream, Took: time.Millisecond})
	case core.StartAttempt:
		d.starts = append(d.starts, attemptStart{at: d.now, address: e.Address})
		if d.serviceTime > 0 {
			d.responses = append(d.responses, pendingResponse{at: d.now.Add(d.serviceTime), host: h, run: h.run, attempt: e.Attempt})
		}
	case core.Count:
		d.counters[string(e.Counter)+"/"+e.Label] += e.Add
	case core.Exit:
		h.stopped = true
	}
}

// send puts a message on the network, subject to loss, duplication and a jitter of up
// to half of the one-way delay.
func (d *deployment) send(h *simulatedHost, e core.SendPeer) {
	if d.measuring {
		size := len(encode(e.Message))
		d.sent++
		d.bytes += size
		d.received[e.Address] += size
	}
	if d.intN(100) < d.lossPercent {
		return
	}
	for range 1 + (d.duplicatePercent+d.intN(100))/100 {
		jitter := time.Duration(d.intN(int(d.delay/2) + 1))
		d.network = append(d.network, packet{at: d.now.Add(d.delay + jitter), from: h.name, to: e.Address, message: e.Message})
	}
}

// run advances the clock by the given duration, and calls the functions after each
// step.
func (d *deployment) run(duration time.Duration, each ...func()) {
	for end := d.now.Add(duration); d.now < end; {
		d.now = d.now.Add(clockStep)
		d.deliver()
		d.deliverResponses()
		for _, h := range d.hosts {
			d.tickIfDue(h)
		}
		for _, f := range each {
			f()
		}
	}
}

// deliverResponses ends the attempts whose response is due.
func (d *deployment) deliverResponses() {
	for len(d.responses) > 0 && d.responses[0].at <= d.now {
		a := d.responses[0]
		d.responses = d.responses[1:]
		if a.host.run == a.run && !a.host.stopped && !a.host.paused {
			facts := outcome.Facts{Wrote: true, Status: 200, Load: -1}
			d.step(a.host, core.AttemptFinished{Attempt: a.attempt, Facts: facts})
		}
	}
}

// deliver delivers the messages that are due, in the order of their arrival. Messages
// to stopped or paused hosts and across a partition are lost.
func (d *deployment) deliver() {
	var due []packet
	d.network = slices.DeleteFunc(d.network, func(p packet) bool {
		if p.at <= d.now {
			due = append(due, p)
		}
		return p.at <= d.now
	})
	slices.SortStableFunc(due, func(a, b packet) int { return cmp.Compare(a.at, b.at) })
	for _, p := range due {
		from, to := d.host(p.from), d.host(p.to)
		if to == nil || to.stopped || to.paused || d.partitioned(from, to) {
			continue
		}
		d.step(to, core.PeerMessage{From: p.from, Address: p.from, Message: p.message})
	}
}

func (d *deployment) host(name string) *simulatedHost { return d.byName[name] }

// tickIfDue runs the watch of a host, and its tick once TickInterval or the requested
// wake-up time has passed.
func (d *deployment) tickIfDue(h *simulatedHost) {
	if h.stopped || h.paused {
		return
	}
	d.watch(h)
	due := d.now >= h.lastTick.Add(core.TickInterval)
	if h.wakeAt > 0 && d.now >= h.wakeAt {
		due = true
		h.wakeAt = 0
	}
	if due {
		h.lastTick = d.now
		d.step(h, core.Tick{})
	}
}

// status returns the status report of a host.
func (d *deployment) status(h *simulatedHost) core.Status {
	h.state.Step(d.now, core.StatusRequested{}, &h.effects)
	var status core.Status
	for _, effect := range h.effects.All() {
		if report, ok := effect.(core.ReportStatus); ok {
			status = report.Status
		}
	}
	d.applyEffects(h)
	return status
}

// liveHosts returns the hosts that are neither stopped nor paused.
func (d *deployment) liveHosts() []*simulatedHost {
	var live []*simulatedHost
	for _, h := range d.hosts {
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
func (d *deployment) publish(generation int, services ...*config.Service) config.Version {
	manifest := &config.Manifest{
		Generation: uint64(generation),
		EntryHosts: len(d.hosts),
		Measuring:  config.Measuring{RequestsPerMinute: probesPerHost * len(d.hosts), BytesPerMinute: 1 << 30},
		Links:      config.Links{BytesPerSecond: 500_000_000, LongPercent: 50},
	}
	text := fmt.Sprintf("%x,", generation)
	for _, service := range services {
		ref := config.ServiceRef{Name: service.Name, Hash: fakeHash(fmt.Sprintf("%x", service.Name+service.Timeout.String()))}
		d.documents[ref.Hash] = service
		manifest.Services = append(manifest.Services, ref)
		text += fmt.Sprintf("%q:%q,", ref.Name, ref.Hash)
	}
	version := config.Version{Generation: uint64(generation), Hash: fakeHash(fmt.Sprintf("%x%x", generation, len(d.documents)))}
	d.documents[version.Hash] = core.ManifestRead{
		Version: version, Manifest: manifest, Raw: append([]byte(version.Hash+","), text...),
	}
	d.manifest = version.Hash
	for _, h := range d.liveHosts() {
		d.watch(h)
	}
	return version
}

// watch returns the manifest to a host with an open watch if it differs from the
// last one. Like the transport, it retries a failed watch after one second.
func (d *deployment) watch(h *simulatedHost) {
	if !h.watching || h.watched == d.manifest || d.now < h.watchAt {
		return
	}
	if d.platformDown {
		h.watchAt = d.now.Add(time.Second)
	} else {
		h.watched = d.manifest
	}
	d.readManifest(h)
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

// readManifest responds to a read of the manifest.
func (d *deployment) readManifest(h *simulatedHost) {
	if d.platformDown {
		d.step(h, core.PlatformFailed{Key: "manifest", Reason: "down"})
		return
	}
	if read, ok := d.documents[d.manifest].(core.ManifestRead); ok {
		d.step(h, read)
	}
}

// readPart responds to a read of a part.
func (d *deployment) readPart(h *simulatedHost, e core.ReadPart) {
	part, ok := d.documents[e.Hash].(*config.Service)
	if d.platformDown || d.partsMissing || !ok {
		d.step(h, core.PlatformFailed{Key: "services/" + e.Service, Reason: "down"})
		return
	}
	d.step(h, core.PartRead{Hash: e.Hash, Service: part, Raw: partBytes(e.Hash)})
}

// partBytes returns the contents of a document of 5 KB, the usual size of a part.
func partBytes(hash config.Hash) []byte {
	return append([]byte(hash), make([]byte, 5<<10)...)
}

// parseManifest responds to ParseManifest if the document has been published.
func (d *deployment) parseManifest(h *simulatedHost, raw []byte, from string) {
	if read, ok := d.documents[config.Hash(raw[:64])].(core.ManifestRead); ok {
		read.From, read.Raw = from, raw
		d.step(h, read)
	}
}

// parsePart responds to ParsePart if the document has been published.
func (d *deployment) parsePart(h *simulatedHost, raw []byte, from string) {
	hash := config.Hash(raw[:64])
	if part, ok := d.documents[hash].(*config.Service); ok {
		d.step(h, core.PartRead{Hash: hash, Service: part, Raw: raw, From: from})
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

// encoder sorts the keys of maps, so that equal messages have equal encodings.
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
