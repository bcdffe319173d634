package config_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/config"
)

// Guards against a path that is compared in another form than the one that backend
// servers receive.
var _ = DescribeTable("the path of a request target",
	func(target, path string) {
		Expect(config.TargetPath(target)).To(Equal(path))
	},
	Entry("has no query", "/a/b?c=/d?e", "/a/b"),
	Entry("keeps escapes, dots and repeated slashes", "/a%2Fb//../c%zz", "/a%2Fb//../c%zz"),
	Entry("keeps what follows a number sign", "/a#b/c", "/a#b/c"),
	Entry("may be an asterisk", "*", "*"),
	Entry("may be empty before a query", "?a", ""),
)

// Guards against a host that is found by one kind of configuration and not by the
// other, because only one of them ignores the port.
var _ = Describe("the host of a request", func() {
	hosts := map[string]bool{
		"gravure.example": true, "GRAVURE.example:8080": true, "gravure.example:": true,
		"gravure.example.other": false, "other": false, "": false, "[::1]:80": false,
	}
	service := func(host string) *config.CompiledService {
		return &config.CompiledService{Service: &config.Service{Name: "s", Match: []config.Match{{Host: host}}}}
	}

	It("is found without its port and in either case", func() {
		for _, configured := range []string{"gravure.example", "Gravure.Example:80"} {
			matched, problems := config.NewTable(config.Version{}, &config.Manifest{}, []*config.CompiledService{service(configured)})
			Expect(problems).To(BeEmpty())
			routed := config.NewRoutedTable(&config.Routing{Version: 1, Routes: []config.Route{{Host: configured, PathPrefix: "/"}}}, nil)
			for host, found := range hosts {
				request := &config.Request{Host: host, Path: "/"}
				Expect(matched.Service(request) != nil).To(Equal(found), "%s %s", configured, host)
				Expect(config.Match{Host: configured}.Matches(request)).To(Equal(found), "%s %s", configured, host)
				Expect(routed.Route(request) != nil).To(Equal(found), "%s %s", configured, host)
			}
		}
	})

	It("may be an IPv6 address", func() {
		routed := config.NewRoutedTable(&config.Routing{Version: 1, Routes: []config.Route{{Host: "[2001:DB8::1]", PathPrefix: "/"}}}, nil)
		Expect(routed.Route(&config.Request{Host: "[2001:db8::1]:80", Path: "/"})).NotTo(BeNil())
		Expect(routed.Route(&config.Request{Host: "[2001:db8::2]:80", Path: "/"})).To(BeNil())
	})

	It("belongs to one service only, whatever port and case are configured", func() {
		other := service("GRAVURE.example:81")
		other.Name = "t"
		_, problems := config.NewTable(config.Version{}, &config.Manifest{}, []*config.CompiledService{service("gravure.example"), other})
		Expect(problems).To(HaveLen(1))
	})
})
