package cli

import (
	"fmt"
	"time"

	"wisteriapond/standin"
)

// Parameters of each upstream and backend server of the demo.
const (
	demoSlots       = 3
	demoConnections = 220
	demoServiceTime = 5 * time.Millisecond
)

type demoLocation struct {
	region        string
	failureDomain string
}

var demoLocations = []demoLocation{{"mtl", "mtl-a"}, {"mtl", "mtl-b"}, {"qc", "qc-a"}, {"qc", "qc-b"}}

var demoEntryLocations = []demoLocation{{"mtl", "mtl-a"}, {"mtl", "mtl-b"}, {"qc", "qc-a"}}

// demoCalls is the format of the list of example calls. Its arguments are the
// address of the first entry host, the address of its admin listener, and the URL
// of the platform.
const demoCalls = `try (each answer names the backend server in the header Wisteriapond-Upstream):
  # look something up; the night team may use only hosts labelled tier=new
  curl -si http://%[1]s/catalogue/urn-7
  curl -si -H 'X-Team: night' http://%[1]s/catalogue/urn-7
  # place an order: it runs at most once, and never on a host labelled read_only
  curl -si -d 'urn 7' http://%[1]s/orders/
  wisteriapond explain --admin %[2]s --method POST /orders/
  # download a proof slowly, in another terminal
  curl -s --limit-rate 4M -o /dev/null http://%[1]s/files/proof
  # declare a host as leaving, and take it back
  curl -X POST %[3]s/control/hosts/catalogue-mtl-1/leaving
  curl -X POST %[3]s/control/hosts/catalogue-mtl-1/live
  # publish the configuration without a host
  curl -X POST %[3]s/control/hosts/catalogue-qc-1/remove
  # publish a bad configuration: it is refused everywhere and changes nothing
  curl -X POST %[3]s/control/services/orders/bad
  # let a backend server be slow, drain, shed, fail-fast, truncate or well
  curl -X POST %[3]s/control/backends/catalogue-mtl-2/slow
  # take the configuration service down, let it be stale, or bring it up
  curl -X POST %[3]s/control/platform/down
  # stop an entry host: it ends when its last download has ended
  curl -X POST %[3]s/control/entries/entry-2/stop
  # look at a host
  wisteriapond status %[2]s
`

// demoParts returns the service parts without the addresses of their upstreams.
func demoParts() []standin.Part {
	return []standin.Part{
		{
			Service:       "catalogue",
			Match:         []standin.MatchRule{{PathPrefix: "/catalogue/"}},
			RequestLabels: []standin.LabelRule{{Label: "team", FromHeader: "X-Team"}},
			Selectors:     []standin.SelectorRule{{When: "team=night", Hosts: "tier=new"}},
			NotRun:        standin.DefaultNotRunForm(),
			Upstreams:     demoUpstreams("catalogue", "tier", "old", "new"),
		},
		{
			Service:   "orders",
			Match:     []standin.MatchRule{{PathPrefix: "/orders/"}},
			Selectors: []standin.SelectorRule{{When: "method notin (GET,HEAD)", Hosts: "!read_only"}},
			Timeout:   "30s",
			NotRun:    standin.DefaultNotRunForm(),
			Upstreams: demoUpstreams("orders", "read_only", "", "yes"),
		},
		{
			Service:   "proofs",
			Match:     []standin.MatchRule{{PathPrefix: "/files/"}},
			LongWhen:  []string{"method=GET"},
			Timeout:   "30m",
			NotRun:    standin.DefaultNotRunForm(),
			Upstreams: demoUpstreams("proofs", "", "", ""),
		},
	}
}

// demoUpstreams returns one upstream per failure domain. The first and the second
// upstream of each region have the label key with the values first and second; an
// empty value means no label.
func demoUpstreams(service, key, first, second string) []standin.Upstream {
	upstreams := make([]standin.Upstream, 0, len(demoLocations))
	for i, location := range demoLocations {
		name := fmt.Sprintf("%s-%s-%d", service, location.region, i%2+1)
		upstream := standin.Upstream{
			Name:          name,
			Host:          name,
			Region:        location.region,
			FailureDomain: location.failureDomain,
			Slots:         demoSlots,
			Connections:   demoConnections,
		}
		if value := []string{first, second}[i%2]; value != "" {
			upstream.Labels = map[string]string{key: value}
		}
		upstreams = append(upstreams, upstream)
	}
	return upstreams
}

func demoHostEntry(u *standin.Upstream) standin.HostEntry {
	return standin.HostEntry{
		Host:          u.Host,
		Address:       u.Address,
		Region:        u.Region,
		FailureDomain: u.FailureDomain,
		Role:          "backend",
		Epoch:         1,
		State:         "live",
	}
}
