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

// demoKeysFor is far enough away that no host warns of the end.
const demoKeysFor = 365 * 24 * time.Hour

// demoKeys makes the keys by which the demo's entry hosts know each other, in
// a directory that lives as long as the demo.
type demoKeys struct {
	directory string
	ca        keys.Pair
}

func newDemoKeys() (*demoKeys, error) {
	directory, err := os.MkdirTemp("", "wisteriapond-demo-")
	if err != nil {
		return nil, fmt.Errorf("directory for keys: %w", err)
	}
	k := &demoKeys{directory: directory}
	if k.ca, err = keys.NewCA("demo", time.Now(), demoKeysFor); err == nil {
		err = keys.WriteCA(directory, k.ca)
	}
	if err != nil {
		k.remove()
		return nil, err
	}
	return k, nil
}

// host makes the key of an entry host and returns its files.
func (k *demoKeys) host(name string) (settings.Keys, error) {
	pair, err := keys.NewHost(k.ca, name, []net.IP{net.ParseIP(loopback)}, time.Now(), demoKeysFor)
	if err != nil {
		return settings.Keys{}, err
	}
	if err := keys.WriteHost(k.directory, name, pair); err != nil {
		return settings.Keys{}, err
	}
	return settings.Keys{
		CA:          filepath.Join(k.directory, keys.CACertificateFile),
		Certificate: filepath.Join(k.directory, name+".pem"),
		Key:         filepath.Join(k.directory, name+".key"),
	}, nil
}

func (k *demoKeys) remove() { os.RemoveAll(k.directory) }
