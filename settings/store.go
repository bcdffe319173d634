package settings

import (
	"fmt"

	"wisteriapond/document"
)

const (
	// DefaultResponseBufferBytes is the size up to which responses are buffered
	// completely.
	DefaultResponseBufferBytes = 64 << 10
	maxResponseBufferBytes     = 16 << 20
	// DefaultUnsizedBytes is the size beyond which a response of unknown length is
	// aborted, since it may never end.
	DefaultUnsizedBytes    = 1 << 30
	minResponseBufferBytes = 1 << 10
	// DefaultRetryRatio and DefaultRetrySlack limit the retries of a fleet to a
	// fifth of the requests plus a few dozen retries.
	DefaultRetryRatio = 0.2
	DefaultRetrySlack = 40
	// DefaultBetweenDomains and DefaultBetweenRegions give the transfer of a
	// large response from another failure domain the weight of a request. The
	// unit is requests per megabyte.
	DefaultBetweenDomains = 12.0
	DefaultBetweenRegions = 25.0

	// DefaultWarmUpRatio and DefaultWarmUpSlack limit the requests of a cold
	// backend server in any second to half more than its rate and a few.
	DefaultWarmUpRatio = 1.5
	DefaultWarmUpSlack = 8

	maxRetryRatio = 1
	// A cold server must bear its rate.
	minWarmUpRatio = 1
	maxWarmUpRatio = 100
	maxWarmUpSlack = 1e6 // requests
	maxRetrySlack  = 1e6 // retries
	maxPrice       = 1e6 // requests per megabyte
	maxDomains     = 256
)

// Store configures a read-only store in which routing and backend servers are
// published. Hosts with a store share no other configuration, so the failure
// domains, retry limits and transfer prices are settings of each host.
type Store struct {
	// Address is the address of the store. Default "": no store is used.
	Address string `json:"address"`
	// Domains lists every failure domain with its region.
	Domains []FailureDomain `json:"domains"`
	// RetryRatio is the share of the requests of a service that may be retried.
	// Default DefaultRetryRatio.
	RetryRatio float64 `json:"retry_ratio"`
	// RetrySlack is the number of retries beyond that share that all hosts together
	// may make. Each host takes its part of it. Default DefaultRetrySlack.
	RetrySlack int `json:"retry_slack"`
	// WarmUpRatio and WarmUpSlack limit the requests that a cold backend server
	// receives in any second from all hosts together: WarmUpRatio times the rate
	// that its service states, and WarmUpSlack requests more. Defaults
	// DefaultWarmUpRatio and DefaultWarmUpSlack.
	WarmUpRatio float64 `json:"warm_up_ratio"`
	WarmUpSlack float64 `json:"warm_up_slack"`
	// BetweenDomains and BetweenRegions are the prices of bytes that leave a
	// failure domain or a region, in requests per megabyte. BetweenRegions is
	// charged in addition to BetweenDomains. Defaults DefaultBetweenDomains and
	// DefaultBetweenRegions.
	BetweenDomains float64 `json:"between_domains"`
	BetweenRegions float64 `json:"between_regions"`
	// Listen is the address at which other entry hosts exchange store updates
	// with this one. Default "": every host reads the store itself.
	Listen string `json:"listen"`
	// Seeds are the addresses of entry hosts to contact first to learn about
	// others.
	Seeds []string `json:"seeds"`
	// Capacity ranks the hosts of a failure domain: the host with the highest
	// capacity reads the store. Default 0.
	Capacity int `json:"capacity"`
	// FirstStart is set if the complete deployment starts for the first time, so
	// that no callers are waiting yet. Default false.
	FirstStart bool `json:"first_start"`
}

// FailureDomain is a failure domain and the region that contains it.
type FailureDomain struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

func defaultStore() Store {
	return Store{
		RetryRatio: DefaultRetryRatio, RetrySlack: DefaultRetrySlack,
		WarmUpRatio: DefaultWarmUpRatio, WarmUpSlack: DefaultWarmUpSlack,
		BetweenDomains: DefaultBetweenDomains, BetweenRegions: DefaultBetweenRegions,
	}
}

func (s *Settings) checkStore(source *document.Source) {
	if s.ResponseBuffer < minResponseBufferBytes || s.ResponseBuffer > maxResponseBufferBytes {
		source.Report("hold_answers", fmt.Sprintf("must be between %d and %d bytes", minResponseBufferBytes, maxResponseBufferBytes))
	}
	if s.UnsizedLimit < s.ResponseBuffer {
		source.Report("unsized_limit", fmt.Sprintf("must be at least hold_answers, %d bytes", s.ResponseBuffer))
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
	checkNumber(source, "store.retry_ratio", store.RetryRatio, maxRetryRatio)
	checkNumber(source, "store.retry_slack", float64(store.RetrySlack), maxRetrySlack)
	checkNumber(source, "store.warm_up_ratio", store.WarmUpRatio, maxWarmUpRatio)
	if store.WarmUpRatio < minWarmUpRatio {
		source.Report("store.warm_up_ratio", fmt.Sprintf("must be at least %d, got %v", minWarmUpRatio, store.WarmUpRatio))
	}
	checkNumber(source, "store.warm_up_slack", store.WarmUpSlack, maxWarmUpSlack)
	checkNumber(source, "store.between_domains", store.BetweenDomains, maxPrice)
	checkNumber(source, "store.between_regions", store.BetweenRegions, maxPrice)
}

func checkNumber(source *document.Source, field string, value, maximum float64) {
	if !(value >= 0 && value <= maximum) {
		source.Report(field, fmt.Sprintf("must be between 0 and %v, got %v", maximum, value))
	}
}
