package entryhost

import (
	"context"
	"net/http/httptrace"

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
		NotRun:         platform.NotRun(),
		NotRunStatuses: platform.NotRunStatuses(),
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
	h.callStore(kindStoreList, e.Call, func(ctx context.Context) (core.Event, error) {
		listed, err := h.store.List(ctx, e.Stale)
		listed.Call = e.Call
		return listed, err
	})
}

func (h *Host) watchStore(e core.WatchStore) {
	h.callStore(kindStoreWatch, e.Call, func(ctx context.Context) (core.Event, error) {
		changed, err := h.store.Watch(ctx, e.After, e.Wait)
		changed.Call = e.Call
		return changed, err
	})
}

// callStore calls the store in the background, and reports the beginning of each
// response besides the result.
func (h *Host) callStore(kind string, id uint64, call func(ctx context.Context) (core.Event, error)) {
	h.metrics.Add(metrics.PlatformCalls, kind, 1)
	h.group.Go(func() error {
		event, err := call(httptrace.WithClientTrace(h.ctx, &httptrace.ClientTrace{
			GotFirstResponseByte: func() { h.loop.Send(core.StoreResponding{Call: id}) },
		}))
		if err != nil && h.ctx.Err() != nil {
			return nil
		}
		if err != nil {
			failed := platform.Failure(err)
			failed.Call = id
			event = failed
		}
		h.loop.Send(event)
		return nil
	})
}
