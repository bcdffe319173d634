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
