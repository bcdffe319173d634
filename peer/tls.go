package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync/atomic"
	"time"

	"wisteriapond/keys"
)

// ALPN names of the protocol between entry hosts. The number changes when messages
// change in a way that older releases would misread.
const (
	protocolV2 = "wisteriapond/2"
	// protocolV1 carries one message per datagram and does not compress streams.
	// Hosts still accept it so that they stay connected during a rolling upgrade.
	protocolV1 = "wisteriapond/1"
)

// protocols lists the protocols that this release supports, the preferred one
// first.
var protocols = []string{protocolV2, protocolV1}

// handshake is the state of a handshake that a peer started. It exists from the
// first packet of the connection.
type handshake struct {
	remote    string
	rejection atomic.Pointer[string]
	accepted  atomic.Bool
	// release removes the handshake from the pending ones. Further calls have no
	// effect.
	release func()
}

type handshakeKey struct{}

// baseTLSConfig returns the TLS settings of both sides. Session resumption is
// disabled, since a resumed session would be accepted without verifying the
// certificate again.
func baseTLSConfig(bundle *keys.Bundle) *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             protocols,
		Certificates:           []tls.Certificate{bundle.Certificate},
		SessionTicketsDisabled: true,
	}
}

// serverTLSConfig returns a configuration that uses the key in force at the time
// of each handshake, so that a key rotation needs no restart.
func (t *Transport) serverTLSConfig() *tls.Config {
	config := baseTLSConfig(t.config.Keys.Current())
	config.GetConfigForClient = func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
		return t.handshakeTLSConfig(hello.Context()), nil
	}
	return config
}

// handshakeTLSConfig returns the configuration of one incoming handshake. It
// requests the certificate of the peer but leaves its verification to
// VerifyConnection: crypto/tls would report the reason of a rejection to the peer
// only, and operators need it too. VerifyConnection runs in every handshake, with
// or without a certificate, and its error aborts the handshake.
func (t *Transport) handshakeTLSConfig(ctx context.Context) *tls.Config {
	bundle := t.config.Keys.Current()
	config := baseTLSConfig(bundle)
	config.ClientAuth = tls.RequestClientCert
	h, _ := ctx.Value(handshakeKey{}).(*handshake)
	config.VerifyConnection = func(state tls.ConnectionState) error {
		_, err := bundle.VerifyPeer(state.PeerCertificates, nil, time.Now())
		if err != nil && h != nil {
			reason := err.Error()
			h.rejection.Store(&reason)
		}
		return err
	}
	return config
}

// dialTLSConfig returns the configuration of an outgoing handshake. Peers are
// dialed by address, so VerifyConnection verifies the certificate against the
// deployment's CAs and the dialed address instead of a server name.
func (t *Transport) dialTLSConfig(address net.IP, rejection *error) *tls.Config {
	bundle := t.config.Keys.Current()
	config := baseTLSConfig(bundle)
	config.NextProtos = t.offeredProtocols
	config.ServerName = address.String()
	config.InsecureSkipVerify = true
	config.VerifyConnection = func(state tls.ConnectionState) error {
		_, err := bundle.VerifyPeer(state.PeerCertificates, address, time.Now())
		*rejection = err
		return err
	}
	return config
}
