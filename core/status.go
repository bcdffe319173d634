package core

import (
	"slices"
	"time"

	"wisteriapond/config"
)

// Status is a report of the state for operators.
type Status struct {
	Host     string
	Ready    bool
	Stopping bool
	Version  config.Version
	Services []ServiceStatus
	Hosts    []HostEntry
}

// ServiceStatus reports one service.
type ServiceStatus struct {
	Name      string
	Waiting   int
	Running   int
	Upstreams []UpstreamStatus
}

// UpstreamStatus reports one upstream.
type UpstreamStatus struct {
	Name  string
	Host  string
	Slots int
	// Limit is the number of requests that this host may run on it now.
	Limit   int
	Running int
	Leaving bool
	// Ejected says that only trial requests go to the upstream.
	Ejected bool
	// Latency is the usual response time; 0 when it is not known.
	Latency time.Duration
}

func (s *State) status() Status {
	status := Status{
		Host:     s.self.Host,
		Ready:    s.ready,
		Stopping: s.stop.requested,
		Version:  s.inForce(),
	}
	for _, name := range sortedKeys(s.services) {
		status.Services = append(status.Services, s.serviceStatus(s.services[name]))
	}
	for _, host := range sortedKeys(s.hosts) {
		status.Hosts = append(status.Hosts, s.hosts[host])
	}
	return status
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
			Limit:   s.allowed(svc, u),
			Leaving: s.leaving(u.config.Host),
			Ejected: u.health.Ejected(),
			Latency: u.health.Latency(0),
		})
	}
	return status
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
