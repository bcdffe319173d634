package cli

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"wisteriapond/keys"
	"wisteriapond/settings"
)

// demoKeyValidity is longer than any demo runs.
const demoKeyValidity = 90 * 24 * time.Hour

// demoKeys creates the keys of the demo in a temporary directory, which exists
// until the demo ends.
type demoKeys struct {
	directory string
	ca        keys.Pair
}

func newDemoKeys() (*demoKeys, error) {
	ca, err := keys.NewCA("demo", time.Now(), demoKeyValidity)
	if err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "wisteriapond-demo-")
	if err != nil {
		return nil, fmt.Errorf("create the directory for the keys of the demo: %w", err)
	}
	k := &demoKeys{directory: directory, ca: ca}
	if err := keys.WriteCA(directory, ca); err != nil {
		k.remove()
		return nil, err
	}
	return k, nil
}

// createHostKey creates the key and the certificate of an entry host.
func (k *demoKeys) createHostKey(host string) (settings.Keys, error) {
	pair, err := keys.NewHost(k.ca, host, []net.IP{net.ParseIP(loopback)}, time.Now(), demoKeyValidity)
	if err != nil {
		return settings.Keys{}, err
	}
	if err := keys.WriteHost(k.directory, host, pair); err != nil {
		return settings.Keys{}, err
	}
	return settings.Keys{
		CA:          filepath.Join(k.directory, keys.CACertificateFile),
		Certificate: filepath.Join(k.directory, host+".pem"),
		Key:         filepath.Join(k.directory, host+".key"),
	}, nil
}

func (k *demoKeys) remove() { os.RemoveAll(k.directory) }
