package core

import (
	"time"

	"wisteriapond/lease"
	"wisteriapond/membership"
)

// ownership says which live entry host owns a unit of leases. It is derived
// from the member table and kept until that changes.
type ownership struct {
	number  uint64
	regions map[string]*regionView
}

// regionView is the live entry hosts of one region. The region "" stands for
// all of them.
type regionView struct {
	hosts []candidate
	// since is the instant of the last change. An owner grants nothing for a
	// while after it, since another host may have been the owner before.
	since Instant
}

type candidate struct {
	name string
	hash uint64
}

// updateView takes over changes of the member table.
func (s *State) updateView() {
	hosts := s.members.LiveMembers()
	if self := s.members.Self(); self.Status != membership.Left {
		hosts = append(hosts, self.Member)
	}
	regions := map[string]*regionView{"": {since: s.now}}
	for _, host := range hosts {
		c := candidate{name: host.Name, hash: membership.HashName(host.Name)}
		regions[""].hosts = append(regions[""].hosts, c)
		if host.Region == "" {
			continue
		}
		if regions[host.Region] == nil {
			regions[host.Region] = &regionView{since: s.now}
		}
		regions[host.Region].hosts = append(regions[host.Region].hosts, c)
	}
	changed := len(regions) != len(s.view.regions)
	for region, next := range regions {
		before := s.view.regions[region]
		if before != nil && sameHosts(before.hosts, next.hosts) {
			next.since = before.since
			continue
		}
		changed = true
	}
	if !changed {
		return
	}
	s.view.regions = regions
	s.view.number++
	s.leases.owner.OwnershipChanged(time.Duration(s.now))
}

// sameHosts compares sets, since the host itself stands at the end.
func sameHosts(a, b []candidate) bool {
	if len(a) != len(b) {
		return false
	}
	names := make(map[string]bool, len(a))
	for _, c := range a {
		names[c.name] = true
	}
	for _, c := range b {
		if !names[c.name] {
			return false
		}
	}
	return true
}

// region returns the view that the owner of a unit is chosen from: the entry
// hosts of its region, or all of them when it has none.
func (v *ownership) region(name string) *regionView {
	if region := v.regions[name]; region != nil && len(region.hosts) > 0 {
		return region
	}
	return v.regions[""]
}

// ownerIn returns the host with the highest rendezvous score for a unit.
func (r *regionView) ownerIn(key uint64) string {
	best, owner := uint64(0), ""
	for _, c := range r.hosts {
		score := membership.Score(key, c.hash)
		if owner == "" || score > best || score == best && c.name < owner {
			best, owner = score, c.name
		}
	}
	return owner
}

// restartViews makes this host wait like a new owner.
func (v *ownership) restartViews(now Instant) {
	for _, region := range v.regions {
		region.since = now
	}
}

func unitKey(unit lease.Unit) uint64 {
	// Both classes of a service have one owner, so that their messages travel
	// together.
	return membership.HashName(unit.Service + "/" + unit.Region)
}
