package config_test

import (
	"fmt"
	"math/rand/v2"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/config"
)

// Guards against a route index that returns a less specific match than a linear
// search: a specific host takes precedence, then the longer path prefix, then
// specific methods.
var _ = Describe("the route of a request", func() {
	hosts := []string{"", "a.example", "B.example"}
	prefixes := []string{"", "/", "/x", "/x/y", "/z"}
	methods := [][]string{nil, {"GET"}, {"POST"}}

	It("is the most specific match", func() {
		random := rand.New(rand.NewPCG(1, 2))
		for range 200 {
			table := randomTable(random, hosts, prefixes, methods)
			for range 50 {
				request := config.Request{
					Method: []string{"GET", "POST", "PUT"}[random.IntN(3)],
					Host:   []string{"A.example", "b.example", "c.example"}[random.IntN(3)],
					Path:   []string{"/", "/x", "/x/y/z", "/xy", "/z", "*"}[random.IntN(6)],
				}
				Expect(table.Service(&request)).To(BeIdenticalTo(mostSpecific(table, &request)), "%+v", request)
			}
		}
	})
})

func randomTable(random *rand.Rand, hosts, prefixes []string, methods [][]string) *config.Table {
	var services []*config.CompiledService
	for _, i := range random.Perm(len(hosts) * len(prefixes) * len(methods))[:12] {
		services = append(services, &config.CompiledService{Service: &config.Service{
			Name: fmt.Sprintf("s%02d", i),
			Match: []config.Match{{
				Host:       hosts[i%len(hosts)],
				PathPrefix: prefixes[i/len(hosts)%len(prefixes)],
				Methods:    methods[i/len(hosts)/len(prefixes)],
			}},
		}})
	}
	table, problems := config.NewTable(config.Version{}, &config.Manifest{}, services)
	Expect(problems).To(BeEmpty())
	return table
}

// mostSpecific returns the most specific match by linear search. Methods are
// the last criterion; between equal matches the first service by name wins.
func mostSpecific(table *config.Table, r *config.Request) *config.CompiledService {
	var best *config.CompiledService
	rank := -1
	for _, service := range table.Services() {
		m := service.Match[0]
		if !m.Matches(r) {
			continue
		}
		score := len(m.PathPrefix) * 2
		if m.Host != "" && strings.EqualFold(m.Host, r.Host) {
			score += 1000
		}
		if len(m.Methods) > 0 {
			score++
		}
		if score > rank {
			best, rank = service, score
		}
	}
	return best
}
