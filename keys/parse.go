package keys

import (
	"crypto/ecdsa"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"io"
	"os"
)

// maxFileBytes bounds the size of a key file. Two CA certificates take about
// 1.5 KB.
const maxFileBytes = 64 << 10

var errKeyMismatch = errors.New("the private key does not match the certificate")

// Error reports a key file that cannot be used.
type Error struct {
	File string
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("keys: %s: %v", e.File, e.Err) }

func (e *Error) Unwrap() error { return e.Err }

func readFile(file string) ([]byte, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, &Error{File: file, Err: err}
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return nil, &Error{File: file, Err: err}
	}
	if len(raw) > maxFileBytes {
		return nil, &Error{File: file, Err: fmt.Errorf("file larger than %d bytes", maxFileBytes)}
	}
	return raw, nil
}

// ReadCertificates reads the certificates in a PEM file. It returns at least one
// certificate or an error.
func ReadCertificates(file string) ([]*x509.Certificate, error) {
	raw, err := readFile(file)
	if err != nil {
		return nil, err
	}
	return parseCertificates(file, raw)
}

func parseCertificates(file string, raw []byte) ([]*x509.Certificate, error) {
	var certificates []*x509.Certificate
	for {
		block, rest := pem.Decode(raw)
		if block == nil {
			break
		}
		raw = rest
		if block.Type != pemCertificate {
			return nil, &Error{File: file, Err: fmt.Errorf("unexpected PEM block %q", block.Type)}
		}
		certificate, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, &Error{File: file, Err: err}
		}
		certificates = append(certificates, certificate)
	}
	if len(certificates) == 0 {
		return nil, &Error{File: file, Err: errors.New("no certificate found in PEM data")}
	}
	return certificates, nil
}

func parseKey(file string, raw []byte) (*ecdsa.PrivateKey, error) {
	block, _ := pem.Decode(raw)
	if block == nil || block.Type != pemKey {
		return nil, &Error{File: file, Err: errors.New("no private key found in PEM data")}
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, &Error{File: file, Err: err}
	}
	key, ok := parsed.(*ecdsa.PrivateKey)
	if !ok {
		return nil, &Error{File: file, Err: errors.New("the private key is not an ECDSA key")}
	}
	return key, nil
}
