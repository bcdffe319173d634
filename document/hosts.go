package document

import "wisteriapond/core"

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

// HostList reads the platform's list of live and leaving hosts.
func HostList(file string, raw []byte) ([]core.HostEntry, error) {
	var f hostListFile
	if err := Decode(file, raw, &f); err != nil {
		return nil, err
	}
	entries := make([]core.HostEntry, 0, len(f.Hosts))
	for _, h := range f.Hosts {
		entry, err := h.entry(file)
		if err != nil {
			return nil, err
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

func (h *hostFile) entry(file string) (core.HostEntry, error) {
	entry := core.HostEntry{
		Host:          h.Host,
		Address:       h.Address,
		Region:        h.Region,
		FailureDomain: h.FailureDomain,
		Epoch:         h.Epoch,
	}
	switch h.Role {
	case "backend":
	case "entry":
		entry.Role = core.EntryHost
	default:
		return entry, &Error{File: file, Reason: "host " + h.Host + ": role must be \"backend\" or \"entry\""}
	}
	switch h.State {
	case "live":
	case "leaving":
		entry.Leaving = true
	default:
		return entry, &Error{File: file, Reason: "host " + h.Host + ": state must be \"live\" or \"leaving\""}
	}
	return entry, nil
}
