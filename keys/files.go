package keys

import (
	"os"
	"path/filepath"
)

// Names of the files of a CA within its directory.
const (
	CACertificateFile = "ca.pem"
	CAKeyFile         = "ca.key"
)

const (
	publicMode  = 0o644
	privateMode = 0o600
)

// WriteCA writes a CA into a directory.
func WriteCA(directory string, ca Pair) error {
	return writePair(directory, CACertificateFile, CAKeyFile, ca)
}

// ReadCA reads a CA from a directory.
func ReadCA(directory string) (Pair, error) {
	certificate, err := readFile(filepath.Join(directory, CACertificateFile))
	if err != nil {
		return Pair{}, err
	}
	key, err := readFile(filepath.Join(directory, CAKeyFile))
	if err != nil {
		return Pair{}, err
	}
	return Pair{Certificate: certificate, Key: key}, nil
}

// WriteHost writes the key of a host into a directory, as HOST.pem and
// HOST.key.
func WriteHost(directory, host string, pair Pair) error {
	return writePair(directory, host+".pem", host+".key", pair)
}

// writePair writes the private file first: a certificate without its key is of
// no use, a key without its certificate does no harm.
func writePair(directory, certificateFile, keyFile string, pair Pair) error {
	if err := writeNew(filepath.Join(directory, keyFile), pair.Key, privateMode); err != nil {
		return err
	}
	return writeNew(filepath.Join(directory, certificateFile), pair.Certificate, publicMode)
}

// writeNew refuses to replace a file: an overwritten CA key cannot be had back.
func writeNew(file string, raw []byte, mode os.FileMode) error {
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return &Error{File: file, Err: err}
	}
	_, err = f.Write(raw)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return &Error{File: file, Err: err}
	}
	return nil
}
