package document

import (
	"fmt"

	"wisteriapond/core"
)

const (
	// maxHosts bounds the number of hosts in the host list.
	maxHosts = 65536
	// MaxHostListBytes is the size limit of the host list, in bytes. MaxBytes
	// does not apply, since the list is not a value of the configuration
	// service; 37,000 hosts take 5 to 6 MB.
	MaxHostListBytes = 16 << 20
)

type hostListFile struct {
	Hosts []hostFile `json:"hosts"`
}

type hostFile struct {
	Host          string `json:"host"`
	Address       string `json:"address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	Role          string `json:"role"`
	Epoch         uint64 `json:"epoch"`
	State         string `json:"state"`
}

// ParseHostList parses and checks the platform's list of live and leaving hosts.
func ParseHostList(file string, raw []byte) ([]core.HostEntry, error) {
	var f hostListFile
	source, err := decode(file, raw, &f, MaxHostListBytes)
	if err != nil {
		return nil, err
	}
	if len(f.Hosts) > maxHosts {
		source.Report("hosts", fmt.Sprintf("at most %d hosts", maxHosts))
		return nil, source.Err()
	}
	entries := make([]core.HostEntry, 0, len(f.Hosts))
	seen := make(map[string]bool, len(f.Hosts))
	for i, h := range f.Hosts {
		field := fmt.Sprintf("hosts[%d]", i)
		if seen[h.Host] {
			source.Report(field+".host", fmt.Sprintf("%q is used twice", h.Host))
		}
		seen[h.Host] = true
		entries = append(entries, h.entry(source, field))
	}
	if err := source.Err(); err != nil {
		return nil, err
	}
	return entries, nil
}

func (h *hostFile) entry(source *Source, field string) core.HostEntry {
	entry := core.HostEntry{
		Host:          h.Host,
		Address:       h.Address,
		Region:        h.Region,
		FailureDomain: h.FailureDomain,
		Epoch:         h.Epoch,
		Leaving:       h.State == "leaving",
	}
	if h.Host == "" {
		source.Report(field+".host", "is required")
	}
	switch h.Role {
	case "backend":
	case "entry":
		entry.Role = core.EntryHost
	default:
		source.Report(field+".role", "must be \"backend\" or \"entry\"")
	}
	if h.State != "live" && h.State != "leaving" {
		source.Report(field+".state", "must be \"live\" or \"leaving\"")
	}
	return entry
}
