package keys

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"time"
)

// maxCAs is the number of CAs that may be trusted at the same time. A rotation of
// the CA needs two.
const maxCAs = 2

// Files holds the paths of the PEM files of a host's key. The CA file may hold two
// certificates, so that both are trusted while a deployment rotates its CA.
type Files struct {
	CA          string
	Certificate string
	Key         string
}

// Bundle holds the loaded key of a host: its certificate, its private key and the
// trusted CAs. It is immutable.
type Bundle struct {
	// Host is the host name that the certificate proves.
	Host string
	// Certificate is the host's certificate with its private key.
	Certificate tls.Certificate
	// NotAfter is the earlier of the expiry times of the host's certificate and
	// of the CA that signed it.
	NotAfter time.Time
	// DerivedSecret is derived from the private key alone. It serves for secrets
	// that must stay the same across restarts.
	DerivedSecret [sha256.Size]byte

	authorities []*x509.Certificate
	roots       *x509.CertPool
	// sources holds the contents of the files of the CA, the certificate and the
	// key, to detect changes.
	sources [3][]byte
}

// Load reads the key of a host and checks that its files match. It does not check
// the validity period; CheckValidity does.
func Load(files Files) (*Bundle, error) {
	b := &Bundle{}
	for i, file := range []string{files.CA, files.Certificate, files.Key} {
		raw, err := readFile(file)
		if err != nil {
			return nil, err
		}
		b.sources[i] = raw
	}
	if err := b.parseAuthorities(files.CA); err != nil {
		return nil, err
	}
	if err := b.parseCertificate(files); err != nil {
		return nil, err
	}
	return b, nil
}

func (b *Bundle) parseAuthorities(file string) error {
	authorities, err := parseCertificates(file, b.sources[0])
	if err != nil {
		return err
	}
	if len(authorities) > maxCAs {
		return &Error{File: file, Err: fmt.Errorf("more than %d CA certificates", maxCAs)}
	}
	b.roots = x509.NewCertPool()
	for _, authority := range authorities {
		if !authority.IsCA {
			return &Error{File: file, Err: fmt.Errorf("%s is not a CA", authority.Subject)}
		}
		b.roots.AddCert(authority)
	}
	b.authorities = authorities
	return nil
}

func (b *Bundle) parseCertificate(files Files) error {
	certificates, err := parseCertificates(files.Certificate, b.sources[1])
	if err != nil {
		return err
	}
	leaf := certificates[0]
	key, err := parseKey(files.Key, b.sources[2])
	if err != nil {
		return err
	}
	if !key.PublicKey.Equal(leaf.PublicKey) {
		return &Error{File: files.Key, Err: errKeyMismatch}
	}
	if b.Host, err = hostName(leaf); err != nil {
		return &Error{File: files.Certificate, Err: err}
	}
	b.Certificate = tls.Certificate{Certificate: [][]byte{leaf.Raw}, PrivateKey: key, Leaf: leaf}
	if b.DerivedSecret, err = deriveSecret(key); err != nil {
		return &Error{File: files.Key, Err: err}
	}
	return b.findIssuer(files.Certificate)
}

// findIssuer finds the trusted CA that signed the host's certificate and sets
// NotAfter. A certificate without one is rejected here, since every peer with the
// same CA file would reject it too.
func (b *Bundle) findIssuer(file string) error {
	leaf := b.Certificate.Leaf
	for _, authority := range b.authorities {
		if leaf.CheckSignatureFrom(authority) != nil {
			continue
		}
		b.NotAfter = leaf.NotAfter
		if authority.NotAfter.Before(b.NotAfter) {
			b.NotAfter = authority.NotAfter
		}
		return nil
	}
	return &Error{File: file, Err: errors.New("the certificate is not signed by a trusted CA")}
}

// deriveSecret returns Bundle.DerivedSecret for a private key.
func deriveSecret(key *ecdsa.PrivateKey) ([sha256.Size]byte, error) {
	raw, err := key.Bytes()
	return sha256.Sum256(append([]byte("wisteriapond digest of a host key\x00"), raw...)), err
}

// CheckValidity returns an error if the key is not valid at the given time.
func (b *Bundle) CheckValidity(now time.Time) error {
	_, err := b.verify(b.Certificate.Leaf, now, x509.ExtKeyUsageClientAuth)
	return err
}

// VerifyPeer verifies the certificate of a peer and returns the host name in it.
// If this host dialed the peer, dialed is the address, which the certificate must
// also contain; it is nil if the peer dialed this host.
func (b *Bundle) VerifyPeer(certificates []*x509.Certificate, dialed net.IP, now time.Time) (string, error) {
	if len(certificates) == 0 {
		return "", errors.New("the peer presented no certificate")
	}
	usage := x509.ExtKeyUsageClientAuth
	if dialed != nil {
		usage = x509.ExtKeyUsageServerAuth
	}
	host, err := b.verify(certificates[0], now, usage)
	if err != nil {
		return "", err
	}
	if dialed == nil {
		return host, nil
	}
	if err := certificates[0].VerifyHostname(dialed.String()); err != nil {
		return "", fmt.Errorf("the certificate of host %s is not valid for the dialed address: %w", host, err)
	}
	return host, nil
}

func (b *Bundle) verify(leaf *x509.Certificate, now time.Time, usage x509.ExtKeyUsage) (string, error) {
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots:       b.roots,
		CurrentTime: now,
		KeyUsages:   []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return "", err
	}
	return hostName(leaf)
}

func hostName(leaf *x509.Certificate) (string, error) {
	if len(leaf.DNSNames) != 1 || leaf.DNSNames[0] == "" {
		return "", errors.New("the certificate must contain exactly one host name")
	}
	return leaf.DNSNames[0], nil
}

// equalFiles reports whether both bundles were loaded from equal file contents.
func (b *Bundle) equalFiles(other *Bundle) bool {
	for i := range b.sources {
		if !bytes.Equal(b.sources[i], other.sources[i]) {
			return false
		}
	}
	return true
}
