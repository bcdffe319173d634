package entryhost

import (
	"context"
	"fmt"

	"wisteriapond/core"
	"wisteriapond/relay"
)

// openRelay opens the listener for the entry hosts that propagate store updates
// to each other.
func (h *Host) openRelay() error {
	if h.store == nil || h.settings.Store.Listen == "" {
		return nil
	}
	var err error
	if h.relayListener, err = h.listen("hosts", h.settings.Store.Listen, 0); err != nil {
		return fmt.Errorf("listen for entry hosts: %w", err)
	}
	h.relayClient = relay.NewClient()
	h.relay = relay.NewServer(func(ctx context.Context, poll core.NewsAsk) (core.NewsAnswer, error) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(h.loopEnded, cancel)()
		return h.pendingPolls.query(ctx, func(id uint64) { h.loop.Send(core.NewsAsked{ID: id, Ask: poll}) })
	})
	return nil
}

func (h *Host) runRelay() {
	if h.relay == nil {
		return
	}
	h.group.Go(func() error {
		return h.relay.Serve(h.relayListener)
	})
}

func (h *Host) closeRelay() {
	if h.relay == nil {
		return
	}
	if err := h.relay.Close(); err != nil {
		h.log.WithError(err).Warn("failed to close the relay server for other entry hosts")
	}
}

// pollNeighbour polls another entry host for store updates in the background.
// The reducer bounds the number of concurrent polls. The end of the process does not
// wait for them: a poll cannot be canceled, and may be held by its receiver.
func (h *Host) pollNeighbour(e core.AskNews) {
	if h.relayClient == nil {
		return
	}
	go func() {
		response, err := h.relayClient.Poll(e.Address, e.Ask)
		if err != nil && h.ctx.Err() != nil {
			return
		}
		event := core.NewsAnswered{Address: e.Address, Aside: e.Aside, Answer: response}
		if err != nil {
			event.Failed = true
			event.Reason = err.Error()
		}
		h.loop.Send(event)
	}()
}
