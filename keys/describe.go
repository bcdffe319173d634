package keys

import (
	"crypto/sha256"
	"crypto/x509"
	"encoding/hex"
	"fmt"
	"strings"
	"time"
)

// Description holds the properties of a certificate that are shown to operators.
type Description struct {
	// Subject and Issuer are common names.
	Subject   string
	Issuer    string
	CA        bool
	Hosts     []string
	Addresses []string
	NotBefore time.Time
	NotAfter  time.Time
	// Fingerprint is the SHA-256 hash of the certificate in hexadecimal.
	Fingerprint string
	// Valid is set if the certificate is within its validity period.
	Valid bool
	// Remaining is the time until NotAfter, negative after it.
	Remaining time.Duration
}

// NewDescription describes a certificate. Valid and Remaining refer to the given
// time.
func NewDescription(certificate *x509.Certificate, now time.Time) Description {
	sum := sha256.Sum256(certificate.Raw)
	d := Description{
		Subject:     certificate.Subject.CommonName,
		Issuer:      certificate.Issuer.CommonName,
		CA:          certificate.IsCA,
		Hosts:       certificate.DNSNames,
		NotBefore:   certificate.NotBefore,
		NotAfter:    certificate.NotAfter,
		Fingerprint: hex.EncodeToString(sum[:]),
		Valid:       !now.Before(certificate.NotBefore) && !now.After(certificate.NotAfter),
		Remaining:   certificate.NotAfter.Sub(now),
	}
	for _, address := range certificate.IPAddresses {
		d.Addresses = append(d.Addresses, address.String())
	}
	return d
}

// String returns the description as indented lines, one for each property.
func (d Description) String() string {
	var b strings.Builder
	kind := "host"
	if d.CA {
		kind = "CA"
	}
	fmt.Fprintf(&b, "  %-12s %s\n", kind, d.Subject)
	fmt.Fprintf(&b, "  %-12s %s\n", "signed by", d.Issuer)
	if !d.CA {
		fmt.Fprintf(&b, "  %-12s %s\n", "names", strings.Join(d.Hosts, ", "))
		fmt.Fprintf(&b, "  %-12s %s\n", "addresses", strings.Join(d.Addresses, ", "))
	}
	fmt.Fprintf(&b, "  %-12s %s\n", "valid from", d.NotBefore.UTC().Format(time.RFC3339))
	fmt.Fprintf(&b, "  %-12s %s (%s)\n", "expires", d.NotAfter.UTC().Format(time.RFC3339), d.remaining())
	fmt.Fprintf(&b, "  %-12s %s\n", "sha256", d.Fingerprint)
	return b.String()
}

func (d Description) remaining() string {
	const day = 24 * time.Hour
	switch {
	case d.Remaining < 0:
		return "EXPIRED"
	case !d.Valid:
		return "not valid yet"
	case d.Remaining < day:
		return fmt.Sprintf("%d hours left", d.Remaining/time.Hour)
	}
	return fmt.Sprintf("%d days left", d.Remaining/day)
}
