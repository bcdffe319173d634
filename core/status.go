package core

import (
	"slices"
	"time"

	"wisteriapond/config"
)

// Status is the status report for operators.
type Status struct {
	Host     string
	Ready    bool
	Stopping bool
	Version  config.Version
	Services []ServiceStatus
	// Hosts lists all known hosts.
	Hosts []HostEntry
	// Pending is the version that is being collected, and MissingParts the number
	// of parts that it lacks.
	Pending      config.Version
	MissingParts int
	// Watching reports whether this host watches the configuration service.
	Watching bool
	// Members are the other entry hosts, and Leaving the hosts marked as leaving.
	Members   []MemberStatus
	Leaving   []HostEntry
	Leases    LeaseStatus
	Measuring MeasuringStatus
	// EmptiedDomains are the failure domains that the operators have emptied.
	EmptiedDomains []string
	Cold           ColdStatus
	// Store is the state read from a store, zero without one.
	Store StoreStatus
}

// ColdStatus is the status of the limit of requests to cold backend servers.
type ColdStatus struct {
	// Hosts is the number of entry hosts among which the turns of cold servers are
	// distributed as far as this host knows, itself included; 0 without a store.
	Hosts int
	// Active reports whether this host uses its turns. It does not for a while after
	// its start.
	Active bool
	// Upstreams is the number of cold upstreams.
	Upstreams int
}

// StoreStatus is the position in the history of the store up to which this host knows
// its contents, and the time since the store confirmed that nothing is later.
type StoreStatus struct {
	Era      uint64
	Revision uint64
	Age      time.Duration
	// Withheld are the servers whose entries came back with a copy of the store after
	// their removal.
	Withheld []string
}

// MemberStatus is the status of one entry host.
type MemberStatus struct {
	Name        string
	Address     string
	Region      string
	State       string
	Incarnation uint64
}

// LeaseStatus is the status of the slot leases. A unit is the set of upstreams of
// one service in one region, for one request class.
type LeaseStatus struct {
	// Granted is the number of slots that this host, as an owner, has granted to
	// Holders hosts.
	Granted int
	Holders int
	// Held is the number of slots that this host holds.
	Held int
	// Leased is the number of units with leases, and OwnCounts that of units in
	// use without leases.
	Leased    int
	OwnCounts int
}

// MeasuringStatus is the status of this host's share of the measuring budget.
type MeasuringStatus struct {
	// PerMinute is the number of probes that this host may start per minute.
	PerMinute int
	// NextIn is the time until the next probe may start.
	NextIn time.Duration
	// Bytes is the number of bytes charged since the start.
	Bytes int64
}

// ServiceStatus is the status of one service.
type ServiceStatus struct {
	Name      string
	Waiting   int
	Running   int
	Upstreams []UpstreamStatus
}

// UpstreamStatus is the status of one upstream.
type UpstreamStatus struct {
	Name  string
	Host  string
	Slots int
	// Limit is the number of requests that this host may run on it now.
	Limit   int
	Running int
	Leaving bool
	// Leased reports whether this host may use Held slots of the upstream.
	// Without leases it relies on its own counts.
	Leased bool
	Held   int
	// Ejected reports whether the upstream gets trial requests only.
	Ejected bool
	// Latency is the usual response time; 0 when it is unknown.
	Latency time.Duration
	// Emptied reports whether the failure domain of the upstream is emptied.
	Emptied bool
	// ColdFor is the remaining warm-up time during which requests are limited, and
	// NextTurn the time until this host may send the upstream a request; both 0 for
	// a warm upstream.
	ColdFor  time.Duration
	NextTurn time.Duration
}

func (s *State) status() Status {
	status := Status{
		Host:     s.self.Host,
		Ready:    s.ready,
		Stopping: s.stop.requested,
		Version:  s.inForce(),
		Watching: s.documents.watching,
		Members:  s.memberStatus(),
		Leaving:  s.leavingHosts(),
		Leases:   s.leaseStatus(),
	}
	status.EmptiedDomains = s.emptiedDomainNames()
	status.Measuring = s.measuringStatus()
	status.Cold = s.coldStatus()
	if s.self.Registry != nil {
		reg := &s.registry
		status.Store = StoreStatus{Era: reg.era, Revision: reg.revision, Age: s.storeStaleness(), Withheld: sortedKeys(reg.withheld)}
	}
	if s.pending != nil {
		status.Pending = s.pending.version
		status.MissingParts = s.pending.fetcher.MissingCount()
	}
	for _, name := range sortedKeys(s.services) {
		status.Services = append(status.Services, s.serviceStatus(s.services[name]))
	}
	for _, host := range sortedKeys(s.hosts) {
		status.Hosts = append(status.Hosts, s.hosts[host])
	}
	return status
}

func (s *State) memberStatus() []MemberStatus {
	var members []MemberStatus
	for _, update := range s.members.Updates() {
		members = append(members, MemberStatus{
			Name:        update.Member.Name,
			Address:     update.Member.Address,
			Region:      update.Member.Region,
			State:       update.Status.String(),
			Incarnation: update.Incarnation,
		})
	}
	return members
}

func (s *State) serviceStatus(svc *service) ServiceStatus {
	status := ServiceStatus{Name: svc.config.Name, Waiting: svc.waiting}
	for _, u := range svc.upstreams {
		status.Running += u.running
		status.Upstreams = append(status.Upstreams, UpstreamStatus{
			Name:    u.config.Name,
			Host:    u.config.Host,
			Slots:   u.config.Slots,
			Running: u.running,
			Limit:   s.currentLimit(svc, u),
			Leaving: s.leaving(u.config.Host),
			Leased:  u.leased,
			Held:    u.held,
			Ejected: u.health.Ejected(),
			Latency: u.health.Latency(0),
			Emptied: u.emptied,
			ColdFor: s.coldFor(u),
		})
		if last := &status.Upstreams[len(status.Upstreams)-1]; last.ColdFor > 0 {
			last.NextTurn = s.coldWait(u)
		}
	}
	return status
}

// sortedKeys returns the keys of a map in a fixed order, so that decisions do not
// depend on the order of maps.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
