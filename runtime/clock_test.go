package runtime

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/core"
)

var _ = Describe("the clock of instants", func() {
	// Guards against instants that stand still while the machine is suspended:
	// what was decided before would look fresh afterwards.
	It("counts from the start of the machine", func() {
		c := newClock()
		suspended := clock{origin: c.origin - int64(time.Hour)}
		Expect(suspended.now().Sub(c.now())).To(BeNumerically("~", time.Hour, time.Second))
		Expect(c.now()).To(BeNumerically(">=", core.Instant(0)))
		Expect(c.now()).To(BeNumerically("<", core.Instant(time.Minute)))
	})

	// Guards against socket deadlines that are late by the time of a suspension.
	It("gives deadlines from the present on", func() {
		c := clock{origin: sinceBoot() - int64(time.Hour)}
		Expect(time.Until(c.deadline(core.Instant(time.Hour + time.Minute)))).To(BeNumerically("~", time.Minute, time.Second))
	})
})
