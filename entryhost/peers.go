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

// flushTimeout bounds the wait for messages to peers at a planned stop. A peer
// that cannot be reached would otherwise hold the stop up.
const flushTimeout = time.Second

// PeerError says why the connections to other entry hosts cannot be set up.
type PeerError struct {
	Err error
}

func (e *PeerError) Error() string { return "peers: " + e.Err.Error() }

func (e *PeerError) Unwrap() error { return e.Err }

// openPeers loads the key and opens the socket for other entry hosts. A host
// without peer_listen runs alone.
func (h *Host) openPeers() error {
	if h.settings.PeerListen == "" {
		return nil
	}
	store, err := keys.Open(keys.Files(h.settings.Keys), h.log)
	if err != nil {
		return &PeerError{Err: err}
	}
	if host := store.Current().Host; host != h.settings.Host {
		return &PeerError{Err: fmt.Errorf("the certificate is for host %s, the settings for %s", host, h.settings.Host)}
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
	store.OnChange(h.peers.KeysChanged)
	h.metrics.Gauge(metrics.KeyExpirySeconds, func() float64 { return store.Remaining().Seconds() })
	h.metrics.Gauge(metrics.KeyReloadsFailed, func() float64 { return float64(store.Failures()) })
	return nil
}

// runPeers serves other entry hosts until ctx is done.
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

// flushPeers sends what is queued for other entry hosts before a planned stop
// ends the process, such as returned leases and the word that it leaves.
func (h *Host) flushPeers() {
	if h.peers == nil {
		return
	}
	ctx, cancel := context.WithTimeout(h.ctx, flushTimeout)
	defer cancel()
	if !h.peers.Flush(ctx) && h.ctx.Err() == nil {
		h.log.Warn("messages to other entry hosts were still queued at the end")
	}
}

// PeerAddress returns the address for other entry hosts, empty for a host that
// runs alone.
func (h *Host) PeerAddress() string {
	if h.peers == nil {
		return ""
	}
	return h.peers.Address()
}

// ReloadKeys looks at the key files at once.
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
