package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync/atomic"
	"time"

	"wisteriapond/keys"
)

// Names of the protocolV2 between entry hosts in the TLS handshake. The number
// changes when messages change in a way that older releases misread.
const (
	protocolV2 = "wisteriapond/2"
	// protocolV1 carries one message per datagram, and streams without
	// compression. Hosts still accept it, so that a rolling upgrade keeps them
	// connected.
	protocolV1 = "wisteriapond/1"
)

// protocols lists what this release speaks, the preferred one first.
var protocols = []string{protocolV2, protocolV1}

// handshake follows one connection that a peer opens, from its first packet.
type handshake struct {
	remote   string
	refusal  atomic.Pointer[string]
	accepted atomic.Bool
	// release gives the place among the handshakes under way back, once.
	release func()
}

type handshakeKey struct{}

// baseTLSConfig resumes no session: a resumed one would be accepted without a
// look at the certificate.
func baseTLSConfig(bundle *keys.Bundle) *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             protocols,
		Certificates:           []tls.Certificate{bundle.Certificate},
		SessionTicketsDisabled: true,
	}
}

// serverTLSConfig picks the key in force for each handshake, so that a rotation
// needs no restart.
func (t *Transport) serverTLSConfig() *tls.Config {
	config := baseTLSConfig(t.config.Keys.Current())
	config.GetConfigForClient = func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
		return t.handshakeTLSConfig(hello.Context()), nil
	}
	return config
}

// handshakeTLSConfig requests the certificate without letting crypto/tls judge it:
// crypto/tls reports a refusal to the peer alone, and operators need its
// reason. VerifyConnection runs in every handshake, with or without a
// certificate, and its error ends the handshake.
func (t *Transport) handshakeTLSConfig(ctx context.Context) *tls.Config {
	bundle := t.config.Keys.Current()
	config := baseTLSConfig(bundle)
	config.ClientAuth = tls.RequestClientCert
	h, _ := ctx.Value(handshakeKey{}).(*handshake)
	config.VerifyConnection = func(state tls.ConnectionState) error {
		_, err := bundle.VerifyPeer(state.PeerCertificates, nil, time.Now())
		if err != nil && h != nil {
			reason := err.Error()
			h.refusal.Store(&reason)
		}
		return err
	}
	return config
}

// dialTLSConfig verifies the peer with the deployment's CAs in VerifyConnection,
// which takes the place of the check by server name: peers are dialed by
// address, and the certificate must hold for it.
func (t *Transport) dialTLSConfig(address net.IP, refusal *error) *tls.Config {
	bundle := t.config.Keys.Current()
	config := baseTLSConfig(bundle)
	config.NextProtos = t.offeredProtocols
	config.ServerName = address.String()
	config.InsecureSkipVerify = true
	config.VerifyConnection = func(state tls.ConnectionState) error {
		_, err := bundle.VerifyPeer(state.PeerCertificates, address, time.Now())
		*refusal = err
		return err
	}
	return config
}
