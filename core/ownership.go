package core

import (
	"time"

	"wisteriapond/lease"
	"wisteriapond/membership"
)

// ownership determines which live entry host owns a lease unit. It is derived
// from the member table and kept until that changes.
type ownership struct {
	// version increases with every change.
	version       uint64
	hostsByRegion map[string]*regionHosts
}

// regionHosts holds the live entry hosts of one region. The region "" holds
// the hosts of all regions.
type regionHosts struct {
	hosts []candidate
	// changedAt is the instant of the last change. An owner grants nothing for
	// some time after it, since another host may have been the owner before.
	changedAt Instant
}

// candidate is an entry host that may own units, with the hash of its name.
type candidate struct {
	name string
	hash uint64
}

// updateOwnership applies changes of the member table. A region whose hosts are
// the same keeps the instant of its last change.
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
	s.leases.owner.OwnershipChanged(time.Duration(s.now))
}

// sameHosts compares two lists of hosts as sets. They are not sorted, since the
// local host comes last.
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

// region returns the hosts from which the owner of a unit is chosen: the entry
// hosts of the region, or all entry hosts if the region has none.
func (o *ownership) region(name string) *regionHosts {
	if region := o.hostsByRegion[name]; region != nil && len(region.hosts) > 0 {
		return region
	}
	return o.hostsByRegion[""]
}

// rendezvousOwner returns the host with the highest rendezvous score for the key
// of a unit.
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

// restartGrantWait makes this host wait as long as a new owner before it grants
// leases.
func (o *ownership) restartGrantWait(now Instant) {
	for _, region := range o.hostsByRegion {
		region.changedAt = now
	}
}

// unitKey returns the hash of a unit. It is the same for both request classes of a
// service and region, so that they have the same owner and their messages can be
// combined.
func unitKey(unit lease.Unit) uint64 {
	return membership.HashName(unit.Service + "/" + unit.Region)
}
