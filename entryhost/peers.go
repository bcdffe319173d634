package entryhost

import (
	"context"
	"errors"
	"fmt"
	"time"

	"wisteriapond/core"
	"wisteriapond/keys"
	"wisteriapond/metrics"
	"wisteriapond/peer"
)

// flushTimeout bounds the time that a planned stop waits for queued messages to
// peers to be sent. An unreachable peer would otherwise delay the stop.
const flushTimeout = time.Second

// PeerError is returned by New if the transport to other entry hosts cannot be
// set up.
type PeerError struct {
	Err error
}

func (e *PeerError) Error() string { return "peers: " + e.Err.Error() }

func (e *PeerError) Unwrap() error { return e.Err }

// openPeers loads the key and opens the listener for other entry hosts. A host
// without the setting peer_listen has no peers.
func (h *Host) openPeers() error {
	if h.settings.PeerListen == "" {
		return nil
	}
	store, err := keys.Open(keys.Files(h.settings.Keys), h.log)
	if err != nil {
		return &PeerError{Err: err}
	}
	if host := store.Current().Host; host != h.settings.Host {
		return &PeerError{Err: fmt.Errorf("the certificate is for host %s, but the settings are for host %s", host, h.settings.Host)}
	}
	h.peers, err = peer.Listen(peer.Config{
		Listen:  h.settings.PeerListen,
		Keys:    store,
		Log:     h.log,
		Count:   h.metrics.Add,
		Receive: h.loop.Send,
	})
	if err != nil {
		return &PeerError{Err: err}
	}
	h.keys = store
	store.OnChange(h.peers.VerifyConnections)
	h.metrics.Gauge(metrics.KeyExpirySeconds, func() float64 { return store.Remaining().Seconds() })
	h.metrics.Gauge(metrics.KeyReloadsRefused, func() float64 { return float64(store.RefusedReloads()) })
	return nil
}

// runPeers starts serving other entry hosts until ctx is done.
func (h *Host) runPeers(ctx context.Context) {
	if h.peers == nil {
		return
	}
	h.group.Go(func() error {
		h.keys.Watch(ctx, keys.PollInterval, h.keyReload)
		return nil
	})
	h.group.Go(func() error {
		err := h.peers.Run(ctx)
		if errors.Is(err, context.Canceled) {
			return nil
		}
		return err
	})
}

// flushPeers sends the queued messages to other entry hosts before the process
// ends after a planned stop, such as returned leases and the notice that this
// host is leaving.
func (h *Host) flushPeers() {
	if h.peers == nil {
		return
	}
	ctx, cancel := context.WithTimeout(h.ctx, flushTimeout)
	defer cancel()
	if !h.peers.Flush(ctx) && h.ctx.Err() == nil {
		h.log.Warn("planned stop did not send all queued messages to other entry hosts")
	}
}

// PeerAddress returns the listen address for other entry hosts, empty for a host
// without peers.
func (h *Host) PeerAddress() string {
	if h.peers == nil {
		return ""
	}
	return h.peers.Address()
}

// ReloadKeys checks the key files for changes immediately.
func (h *Host) ReloadKeys() {
	select {
	case h.keyReload <- struct{}{}:
	default:
	}
}

func (h *Host) sendPeer(e core.SendPeer) {
	if h.peers != nil {
		h.peers.Send(e.Address, e.Message)
	}
}
