// Package keys makes and loads the keys by which the entry hosts of one
// deployment know each other: a certificate authority (CA) of the deployment's
// own, and one certificate for each host that proves the host's name.
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
	// backdate lets hosts whose clocks are behind accept a new certificate.
	backdate = 10 * time.Minute
)

// Pair is a certificate and its private key, both in PEM.
type Pair struct {
	Certificate []byte
	Key         []byte
}

// NewCA makes the CA of a deployment.
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

// NewHost makes the key of a host. The certificate proves the name of the host
// and its addresses.
func NewHost(ca Pair, host string, addresses []net.IP, now time.Time, validity time.Duration) (Pair, error) {
	if host == "" || strings.ContainsAny(host, "/\\ ") {
		return Pair{}, fmt.Errorf("keys: %q is not a host name", host)
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
		return Pair{}, &Error{File: "CA key", Err: errMismatch}
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

// sign makes a new key and a certificate for it; without an issuer the
// certificate is signed with its own key.
func sign(template, issuer *x509.Certificate, issuerKey *ecdsa.PrivateKey) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, fmt.Errorf("make a key: %w", err)
	}
	if issuer == nil {
		issuer, issuerKey = template, key
	}
	template.SerialNumber, err = rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return Pair{}, fmt.Errorf("make a serial number: %w", err)
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
