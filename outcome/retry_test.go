package outcome_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/outcome"
)

// Guards against running a request twice that must run at most once, and
// against retrying a request after a lower layer has used up its retries.
var _ = DescribeTable("the reason for a retry", func(f outcome.Facts, nonIdempotent, idempotent outcome.Retry) {
	class := outcome.Classify(f, 503)
	Expect(outcome.RetryReason(f, class, false)).To(Equal(nonIdempotent))
	Expect(outcome.RetryReason(f, class, true)).To(Equal(idempotent))
},
	Entry("dial", outcome.Facts{Cause: outcome.CauseDial}, outcome.RetryDial, outcome.RetryDial),
	Entry("expired", outcome.Facts{Cause: outcome.CauseExpired}, outcome.RetryExpired, outcome.RetryExpired),
	Entry("canceled before it was sent", outcome.Facts{Cause: outcome.CauseCanceled}, outcome.RetryNone, outcome.RetryNone),
	Entry("shed", outcome.Facts{Wrote: true, Status: 503, NotRunHeader: true}, outcome.RetryShed, outcome.RetryShed),
	Entry("shed after a lower layer gave up", outcome.Facts{Wrote: true, Status: 503, NotRunHeader: true, GaveUp: true}, outcome.RetryNone, outcome.RetryNone),
	Entry("reset", outcome.Facts{Wrote: true, Cause: outcome.CauseReset}, outcome.RetryNone, outcome.RetryReset),
	Entry("truncated", outcome.Facts{Wrote: true, Cause: outcome.CauseTruncated}, outcome.RetryNone, outcome.RetryTruncated),
	Entry("canceled", outcome.Facts{Wrote: true, Cause: outcome.CauseCanceled}, outcome.RetryNone, outcome.RetryNone),
	Entry("502", outcome.Facts{Wrote: true, Status: 502}, outcome.RetryNone, outcome.RetryStatus502),
	Entry("503", outcome.Facts{Wrote: true, Status: 503}, outcome.RetryNone, outcome.RetryStatus503),
	Entry("503 after a lower layer gave up", outcome.Facts{Wrote: true, Status: 503, GaveUp: true}, outcome.RetryNone, outcome.RetryNone),
	Entry("500", outcome.Facts{Wrote: true, Status: 500}, outcome.RetryNone, outcome.RetryNone),
	Entry("200", outcome.Facts{Wrote: true, Status: 200}, outcome.RetryNone, outcome.RetryNone),
)
