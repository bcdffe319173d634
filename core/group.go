package core

import (
	"slices"
	"strconv"

	"wisteriapond/config"
	"wisteriapond/label"
	"wisteriapond/queue"
)

// maxCachedGroups bounds the number of cached groups of a service. Callers choose
// the header values that labels come from, and thus the number of label sets.
const maxCachedGroups = 256

// group represents the requests of a service with the same labels and the same
// allowed regions, which have the same eligible upstreams.
type group struct {
	labels label.Set
	// regions are the regions that the route allows, empty for every region.
	regions  []string
	long     bool
	eligible []*upstream
	waiting  queue.Queue[*request]
}

// groupCache caches the groups of a service by label set and regions. It evicts the
// oldest entry when it is full.
type groupCache struct {
	byLabels map[string]*group
	keys     []string
	oldest   int
	key      []byte
}

// find returns the cached group of a label set and regions, or nil. Valid labels
// contain neither '=' nor ',', and the length precedes each region, so that
// different pairs have different keys.
func (c *groupCache) find(labels label.Set, regions []string) *group {
	c.key = c.key[:0]
	for _, region := range regions {
		c.key = strconv.AppendInt(c.key, int64(len(region)), 10)
		c.key = append(c.key, ':')
		c.key = append(c.key, region...)
	}
	c.key = append(c.key, ';')
	for i := range labels {
		c.key = append(c.key, labels[i].Key...)
		c.key = append(c.key, '=')
		c.key = append(c.key, labels[i].Value...)
		c.key = append(c.key, ',')
	}
	return c.byLabels[string(c.key)]
}

// add caches a group under the key built by the preceding call of find.
func (c *groupCache) add(g *group) {
	key := string(c.key)
	if c.byLabels == nil {
		c.byLabels = make(map[string]*group)
	}
	c.byLabels[key] = g
	if len(c.keys) < maxCachedGroups {
		c.keys = append(c.keys, key)
		return
	}
	delete(c.byLabels, c.keys[c.oldest])
	c.keys[c.oldest] = key
	c.oldest = (c.oldest + 1) % maxCachedGroups
}

func (c *groupCache) clear() {
	clear(c.byLabels)
	c.keys = c.keys[:0]
	c.oldest = 0
}

// groupFor returns the group of requests with the given labels whose route allows
// the given regions, and creates and caches it if necessary.
func (svc *service) groupFor(labels label.Set, regions []string) *group {
	if g := svc.groups.find(labels, regions); g != nil {
		return g
	}
	g := &group{labels: labels, regions: regions, long: svc.config.Long(labels), eligible: svc.eligible(labels, regions)}
	svc.groups.add(g)
	return g
}

// eligible returns the upstreams that the selectors of the service allow for the
// labels, in regions that both the route and the service allow and in failure
// domains that are not emptied.
func (svc *service) eligible(labels label.Set, regions []string) []*upstream {
	var found []*upstream
	for _, u := range svc.upstreams {
		if u.emptied {
			continue
		}
		if !config.RegionAllowed(regions, u.config.Region) || !config.RegionAllowed(svc.config.AllowedRegions, u.config.Region) {
			continue
		}
		if ok, _, _ := svc.config.Eligible(labels, u.config); ok {
			found = append(found, u)
		}
	}
	return found
}

// updateGroups clears the cache and applies a new configuration to the groups with
// waiting requests. These keep the labels that they arrived with.
func (svc *service) updateGroups() {
	svc.groups.clear()
	for _, g := range svc.waitingGroups {
		g.eligible = svc.eligible(g.labels, g.regions)
	}
}

func (g *group) isEligible(u *upstream) bool { return slices.Contains(g.eligible, u) }
