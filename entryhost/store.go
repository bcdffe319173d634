package entryhost

import (
	"wisteriapond/core"
	"wisteriapond/metrics"
	"wisteriapond/platform"
	"wisteriapond/settings"
)

// Kinds of calls to the store, used as metric labels.
const (
	kindStoreList  = "store_list"
	kindStoreWatch = "store_watch"
)

// priceScale and ratioScale convert prices in requests and ratios to thousandths,
// the unit of the reducer.
const (
	priceScale = 1000
	ratioScale = 1000
	// percentScale converts a ratio to percent.
	percentScale = 100
)

// registrySettings returns the settings of the reducer for a host with a store,
// nil for a host without one.
func (h *Host) registrySettings(s *settings.Store) *core.RegistrySettings {
	if h.store == nil {
		return nil
	}
	registry := &core.RegistrySettings{
		NotRun: platform.NotRun(),
		// Rounded down, so that the limit of the platform is kept.
		RetryPermille: int(s.RetryRatio * ratioScale),
		RetrySlack:    s.RetrySlack,
		WarmUpPercent: int(s.WarmUpRatio * percentScale),
		WarmUpSlack:   int(s.WarmUpSlack),
		Transfer: core.TransferPrices{
			BetweenDomains: int(s.BetweenDomains * priceScale),
			BetweenRegions: int(s.BetweenRegions * priceScale),
		},
	}
	if h.relayListener != nil {
		registry.Address = h.relayListener.Addr().String()
		registry.Seeds = s.Seeds
		registry.Capacity = s.Capacity
		registry.FirstStart = s.FirstStart
	}
	for _, domain := range s.Domains {
		registry.Domains = append(registry.Domains, core.FailureDomain(domain))
	}
	return registry
}

func (h *Host) listStore(e core.ListStore) {
	h.callStore(kindStoreList, func() (core.Event, error) { return h.store.List(h.ctx, e.Stale) })
}

func (h *Host) watchStore(e core.WatchStore) {
	h.callStore(kindStoreWatch, func() (core.Event, error) { return h.store.Watch(h.ctx, e.After, e.Wait) })
}

// callStore calls the store in the background. The reducer makes one call at a
// time.
func (h *Host) callStore(kind string, call func() (core.Event, error)) {
	h.metrics.Add(metrics.PlatformCalls, kind, 1)
	h.group.Go(func() error {
		event, err := call()
		if err != nil && h.ctx.Err() != nil {
			return nil
		}
		if err != nil {
			event = platform.Failure(err)
		}
		h.loop.Send(event)
		return nil
	})
}
