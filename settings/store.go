package settings

import (
	"fmt"

	"wisteriapond/document"
)

const (
	// DefaultResponseBuffer is the size up to which answers are held whole.
	DefaultResponseBuffer = 64 << 10
	maxHoldAnswers        = 16 << 20
	minHoldAnswers        = 1 << 10
	// DefaultRetryPercent and DefaultRetryBurst keep retries of a fleet of a
	// few dozen hosts to a fifth of the requests and a few dozen more.
	DefaultRetryPercent = 20
	DefaultRetryBurst   = 1.4
	// DefaultBetweenDomains and DefaultBetweenRegions weigh a large answer from
	// another failure domain as much as a request.
	DefaultBetweenDomains = 12.0
	DefaultBetweenRegions = 25.0

	maxRetryPercent = 100
	maxRetryBurst   = 100
	maxPrice        = 1e6
	maxDomains      = 256
)

// Store says where routing and backend servers are published in a store that is
// read only, and what follows from there being nothing else to share.
type Store struct {
	// Address is the address of the store. Default "": no store is read.
	Address string `json:"address"`
	// Domains names every failure domain with its region.
	Domains []FailureDomain `json:"domains"`
	// RetryPercent is the part of the requests of a service that may be sent
	// again, in percent. Default DefaultRetryPercent.
	RetryPercent int `json:"retry_percent"`
	// RetryBurst is the number of such attempts that each host may make beyond
	// it. Default DefaultRetryBurst.
	RetryBurst float64 `json:"retry_burst"`
	// BetweenDomains and BetweenRegions price bytes that leave a failure domain
	// and a region: how many requests a megabyte is worth. Defaults
	// DefaultBetweenDomains and DefaultBetweenRegions.
	BetweenDomains float64 `json:"between_domains"`
	BetweenRegions float64 `json:"between_regions"`
	// Listen is the address for other entry hosts, which tell each other what
	// the store says. Default "": every host reads the store for itself.
	Listen string `json:"listen"`
	// Seeds are the addresses of entry hosts to ask first for others.
	Seeds []string `json:"seeds"`
	// Capacity orders the hosts of a failure domain: the one with the highest
	// reads the store. Default 0.
	Capacity int `json:"capacity"`
	// FirstStart says that the whole deployment starts for the first time, so
	// that no caller waits yet. Default false.
	FirstStart bool `json:"first_start"`
}

// FailureDomain is a failure domain and the region in which it lies.
type FailureDomain struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

func defaultStore() Store {
	return Store{
		RetryPercent: DefaultRetryPercent, RetryBurst: DefaultRetryBurst,
		BetweenDomains: DefaultBetweenDomains, BetweenRegions: DefaultBetweenRegions,
	}
}

func (s *Settings) checkStore(source *document.Source) {
	if s.ResponseBuffer < minHoldAnswers || s.ResponseBuffer > maxHoldAnswers {
		source.Report("hold_answers", fmt.Sprintf("must be between %d and %d bytes", minHoldAnswers, maxHoldAnswers))
	}
	store := &s.Store
	if store.Address == "" {
		return
	}
	checkAddress(source, "store.address", store.Address)
	if s.Platform != "" || s.PeerListen != "" {
		source.Report("store.address", "excludes platform and peer_listen")
	}
	if len(store.Domains) > maxDomains {
		source.Report("store.domains", fmt.Sprintf("at most %d failure domains", maxDomains))
	}
	for i, domain := range store.Domains {
		checkName(source, fmt.Sprintf("store.domains[%d].name", i), domain.Name)
		checkName(source, fmt.Sprintf("store.domains[%d].region", i), domain.Region)
	}
	if store.Listen != "" {
		checkHostAddress(source, "store.listen", store.Listen)
	}
	if len(store.Seeds) > maxPeers {
		source.Report("store.seeds", fmt.Sprintf("at most %d seeds", maxPeers))
	}
	for i, address := range store.Seeds {
		checkHostAddress(source, fmt.Sprintf("store.seeds[%d]", i), address)
	}
	checkNumber(source, "store.retry_percent", float64(store.RetryPercent), maxRetryPercent)
	checkNumber(source, "store.retry_burst", store.RetryBurst, maxRetryBurst)
	checkNumber(source, "store.between_domains", store.BetweenDomains, maxPrice)
	checkNumber(source, "store.between_regions", store.BetweenRegions, maxPrice)
}

func checkNumber(source *document.Source, field string, value, high float64) {
	if !(value >= 0 && value <= high) {
		source.Report(field, fmt.Sprintf("must be between 0 and %v, got %v", high, value))
	}
}
