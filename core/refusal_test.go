package core_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/config"
	"wisteriapond/core"
)

// Guards against an invalid document that is read and reported repeatedly, and
// against a host that refuses a version because of an older part from a stale
// configuration service.
var _ = DescribeTable("a refused document",
	func(refused []core.DocumentRefused, reports int, readsAgain bool) {
		state := core.New()
		var effects core.Effects
		var now core.Instant
		reported, reads := 0, 0
		step := func(event core.Event) {
			effects.Reset()
			state.Step(now, event, &effects)
			for _, effect := range effects.All() {
				switch e := effect.(type) {
				case core.Count:
					if e.Counter == core.CounterConfigurations && e.Label == "refused" {
						reported++
					}
				case core.ReadPart:
					reads++
				}
			}
		}
		step(core.Start{Host: "entry-1", Address: "127.0.0.1:1", Region: "mtl", FailureDomain: "mtl-a"})
		step(core.ManifestRead{
			Version: config.Version{Generation: 1, Hash: fakeHash("1")},
			Manifest: &config.Manifest{
				Generation: 1, EntryHosts: 1, Links: config.Links{LongPercent: 50},
				Services: []config.ServiceRef{{Name: "orders", Hash: fakeHash("a")}},
			},
		})
		Expect(reads).To(Equal(1))
		for _, event := range refused {
			step(event)
		}
		for range 1200 {
			now = now.Add(core.TickInterval)
			step(core.Tick{})
		}
		Expect(reported).To(Equal(reports))
		Expect(reads > 1).To(Equal(readsAgain))
	},
	Entry("that the manifest lists causes the version to be refused", []core.DocumentRefused{refusedDocument("services/orders", "a")}, 1, false),
	Entry("that the manifest does not list is read again", []core.DocumentRefused{refusedDocument("services/orders", "b")}, 0, true),
	Entry("is reported once if it is a manifest that is read twice",
		[]core.DocumentRefused{refusedDocument("manifest", "2"), refusedDocument("manifest", "2"), refusedDocument("services/orders", "a")}, 2, false),
	Entry("is reported again if the manifest is a different one",
		[]core.DocumentRefused{refusedDocument("manifest", "2"), refusedDocument("manifest", "3"), refusedDocument("services/orders", "a")}, 3, false),
	Entry("is not counted as a configuration if it is the host list",
		[]core.DocumentRefused{refusedDocument("hosts", "2"), refusedDocument("services/orders", "a")}, 1, false),
)

// refusedDocument returns the event of a document that could not be used.
func refusedDocument(key, content string) core.DocumentRefused {
	return core.DocumentRefused{Key: key, Problems: []string{"bad"}, Hash: fakeHash(content)}
}
