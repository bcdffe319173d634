package keys

import (
	"os"
	"path/filepath"
)

// File names of a CA within its directory.
const (
	CACertificateFile = "ca.pem"
	CAKeyFile         = "ca.key"
)

const (
	publicMode  = 0o644
	privateMode = 0o600
)

// WriteCA writes a CA to a directory. It does not overwrite existing files.
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

// WriteHost writes the key of a host to a directory, as HOST.pem and HOST.key. It
// does not overwrite existing files.
func WriteHost(directory, host string, pair Pair) error {
	return writePair(directory, host+".pem", host+".key", pair)
}

// writePair writes the private key first: if the second write fails, a key without
// its certificate does no harm, whereas a certificate without its key is useless.
func writePair(directory, certificateFile, keyFile string, pair Pair) error {
	if err := writeNew(filepath.Join(directory, keyFile), pair.Key, privateMode); err != nil {
		return err
	}
	return writeNew(filepath.Join(directory, certificateFile), pair.Certificate, publicMode)
}

// writeNew writes a file that must not exist yet, since an overwritten CA key could
// not be recovered.
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
