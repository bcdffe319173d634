// Package keys generates and loads the keys with which the entry hosts of a
// deployment authenticate each other: a certificate authority (CA) for the
// deployment, and a certificate with the host's name for each host.
package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"strings"
	"time"
)

const (
	pemCertificate = "CERTIFICATE"
	pemKey         = "PRIVATE KEY"
	serialBits     = 128
	// backdate is the time by which the validity of a certificate starts before
	// its creation, so that hosts whose clocks are behind accept it.
	backdate = 10 * time.Minute
)

// Pair holds a certificate and its private key, both PEM-encoded.
type Pair struct {
	Certificate []byte
	Key         []byte
}

// NewCA generates the CA of a deployment.
func NewCA(name string, now time.Time, validity time.Duration) (Pair, error) {
	template := &x509.Certificate{
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             now.Add(-backdate),
		NotAfter:              now.Add(validity),
		IsCA:                  true,
		MaxPathLenZero:        true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	return sign(template, nil, nil)
}

// NewHost generates the key of a host, signed by the CA. The certificate contains
// the name of the host and its addresses.
func NewHost(ca Pair, host string, addresses []net.IP, now time.Time, validity time.Duration) (Pair, error) {
	if host == "" || strings.ContainsAny(host, "/\\ ") {
		return Pair{}, fmt.Errorf("keys: %q is not a valid host name", host)
	}
	issuer, err := parseCertificates("CA certificate", ca.Certificate)
	if err != nil {
		return Pair{}, err
	}
	key, err := parseKey("CA key", ca.Key)
	if err != nil {
		return Pair{}, err
	}
	if !issuer[0].IsCA {
		return Pair{}, &Error{File: "CA certificate", Err: fmt.Errorf("%s is not a CA", issuer[0].Subject)}
	}
	if !key.PublicKey.Equal(issuer[0].PublicKey) {
		return Pair{}, &Error{File: "CA key", Err: errKeyMismatch}
	}
	template := &x509.Certificate{
		Subject:     pkix.Name{CommonName: host},
		DNSNames:    []string{host},
		IPAddresses: addresses,
		NotBefore:   now.Add(-backdate),
		NotAfter:    now.Add(validity),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	return sign(template, issuer[0], key)
}

// sign generates a private key and a certificate for it. Without an issuer the
// certificate is self-signed.
func sign(template, issuer *x509.Certificate, issuerKey *ecdsa.PrivateKey) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, fmt.Errorf("generate a private key: %w", err)
	}
	if issuer == nil {
		issuer, issuerKey = template, key
	}
	template.SerialNumber, err = rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return Pair{}, fmt.Errorf("generate a serial number: %w", err)
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, issuer, &key.PublicKey, issuerKey)
	if err != nil {
		return Pair{}, fmt.Errorf("sign the certificate of %s: %w", template.Subject, err)
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, fmt.Errorf("encode the key of %s: %w", template.Subject, err)
	}
	return Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: pemCertificate, Bytes: certificate}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: pemKey, Bytes: encoded}),
	}, nil
}
