package core

import (
	"time"

	"wisteriapond/lease"
	"wisteriapond/membership"
)

// ownership says which live entry host owns a unit of leases. It is derived
// from the member table and kept until that changes.
type ownership struct {
	version       uint64
	hostsByRegion map[string]*regionHosts
}

// regionView is the live entry hosts of one region. The region "" stands for
// all of them.
type regionHosts struct {
	hosts []candidate
	// since is the instant of the last change. An owner grants nothing for a
	// while after it, since another host may have been the owner before.
	changedAt Instant
}

type candidate struct {
	name string
	hash uint64
}

// updateView takes over changes of the member table.
func (s *State) updateOwnership() {
	hosts := s.members.LiveMembers()
	if self := s.members.Self(); self.Status != membership.Left {
		hosts = append(hosts, self.Member)
	}
	regions := map[string]*regionHosts{"": {changedAt: s.now}}
	for _, host := range hosts {
		c := candidate{name: host.Name, hash: membership.HashName(host.Name)}
		regions[""].hosts = append(regions[""].hosts, c)
		if host.Region == "" {
			continue
		}
		if regions[host.Region] == nil {
			regions[host.Region] = &regionHosts{changedAt: s.now}
		}
		regions[host.Region].hosts = append(regions[host.Region].hosts, c)
	}
	changed := len(regions) != len(s.ownership.hostsByRegion)
	for region, next := range regions {
		before := s.ownership.hostsByRegion[region]
		if before != nil && sameHosts(before.hosts, next.hosts) {
			next.changedAt = before.changedAt
			continue
		}
		changed = true
	}
	if !changed {
		return
	}
	s.ownership.hostsByRegion = regions
	s.ownership.version++
	s.leases.owner.ViewChanged(time.Duration(s.now))
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
func (v *ownership) region(name string) *regionHosts {
	if region := v.hostsByRegion[name]; region != nil && len(region.hosts) > 0 {
		return region
	}
	return v.hostsByRegion[""]
}

// ownerIn returns the host with the highest rendezvous score for a unit.
func (r *regionHosts) rendezvousOwner(key uint64) string {
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
func (v *ownership) restartGrantWait(now Instant) {
	for _, region := range v.hostsByRegion {
		region.changedAt = now
	}
}

func unitKey(unit lease.Unit) uint64 {
	// Both classes of a service have one owner, so that their messages travel
	// together.
	return membership.HashName(unit.Service + "/" + unit.Region)
}
