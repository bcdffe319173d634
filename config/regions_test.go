package config_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/config"
)

// Guards against lists of regions that no server can be in, or that hold a name
// which a typing error left empty or repeated.
var _ = DescribeTable("CheckRouting checks the regions of a route",
	func(problem string, regions ...string) {
		routing := &config.Routing{
			Version:  1,
			Services: []config.RoutedService{{Name: "s"}},
			Routes: []config.Route{{
				Name: "r", Host: "h", PathPrefix: "/", MaxAttempts: 1, Targets: []config.Target{{Service: "s", Weight: 1}}, Regions: regions,
			}},
		}
		problems := config.CheckRouting(routing)
		if problem == "" {
			Expect(problems).To(BeEmpty())
			return
		}
		Expect(problems).To(ConsistOf(And(HaveField("Field", "routes.r"), HaveField("Reason", problem))))
	},
	Entry("none", ""),
	Entry("two", "", "mtl", "qc"),
	Entry("an empty name", `invalid region ""`, ""),
	Entry("a repeated name", `the region "mtl" is listed more than once`, "mtl", "mtl"),
)

// Guards against a misspelt failure domain or region in a published configuration,
// which would keep requests on servers that the operators want to spare, or off all
// of them.
var _ = It("NewTable reports regions and emptied failure domains in which no upstream stands", func() {
	service := &config.Service{
		Name: "s", Match: []config.Match{{PathPrefix: "/"}}, Timeout: config.MaxRequestTimeout, AllowedRegions: []string{"mtl", "sag"},
		Upstreams: []config.Upstream{{
			Name: "u", Host: "h", Address: "127.0.0.1:1", Region: "mtl", FailureDomain: "mtl-a", Slots: 1, Connections: 1,
		}},
	}
	compiled, problems := config.CompileService(service)
	Expect(problems).To(BeEmpty())
	manifest := &config.Manifest{Generation: 1, EmptiedDomains: []string{"mtl-a", "mtl-c"}}
	_, problems = config.NewTable(config.Version{Generation: 1}, manifest, []*config.CompiledService{compiled})
	Expect(problems).To(ConsistOf(
		And(HaveField("Document", "services/s.json"), HaveField("Field", "allowed_regions[1]")),
		And(HaveField("Document", "manifest.json"), HaveField("Field", "emptied_domains[1]")),
	))
})
