package runtime

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/core"
)

var _ = Describe("the clock of instants", func() {
	// Guards against instants that do not advance while the machine is suspended.
	// State from before a suspension would be treated as recent after it.
	It("is based on the time since boot", func() {
		c := newClock()
		suspended := clock{origin: c.origin - int64(time.Hour)}
		Expect(suspended.now().Sub(c.now())).To(BeNumerically("~", time.Hour, time.Second))
		Expect(c.now()).To(BeNumerically(">=", core.Instant(0)))
		Expect(c.now()).To(BeNumerically("<", core.Instant(time.Minute)))
	})

	// Guards against socket deadlines that are late by the duration of a
	// suspension.
	It("returns deadlines relative to the current time", func() {
		c := clock{origin: sinceBoot() - int64(time.Hour)}
		Expect(time.Until(c.deadline(core.Instant(time.Hour + time.Minute)))).To(BeNumerically("~", time.Minute, time.Second))
	})
})
