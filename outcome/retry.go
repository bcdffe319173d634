package outcome

// Retry is the reason for another attempt.
type Retry string

// The retry reasons. They are a stable interface for metrics.
const (
	RetryNone            Retry = ""
	RetryDial            Retry = "dial"
	RetryExpired         Retry = "expired"
	RetryConnectionLimit Retry = "connection_limit"
	RetryShed            Retry = "shed"
	RetryReset           Retry = "reset"
	RetryTimeout         Retry = "timeout"
	RetryTruncated       Retry = "truncated"
	RetryMalformed       Retry = "malformed"
	RetryStatus502       Retry = "status_502"
	RetryStatus503       Retry = "status_503"
	RetryStatus504       Retry = "status_504"
)

// Retries lists every retry reason.
func Retries() []Retry {
	return []Retry{
		RetryDial, RetryExpired, RetryConnectionLimit, RetryShed, RetryReset, RetryTimeout, RetryTruncated, RetryMalformed,
		RetryStatus502, RetryStatus503, RetryStatus504,
	}
}

// Withheld is the reason why a request that could be tried again was not.
type Withheld string

// The reasons. They are a stable interface for metrics.
const (
	WithheldAttempts Withheld = "attempts"
	WithheldBudget   Withheld = "budget"
	WithheldBody     Withheld = "body"
	WithheldDeadline Withheld = "deadline"
)

// WithheldReasons lists every reason for a withheld retry.
func WithheldReasons() []Withheld {
	return []Withheld{WithheldAttempts, WithheldBudget, WithheldBody, WithheldDeadline}
}

// RetryReason returns why an attempt that ended with these facts should be
// followed by another, or RetryNone when it must not be. A request that may
// have run is tried again only when it is idempotent. An answer marked as
// given up has used up the retries of a layer below.
func RetryReason(f Facts, class Class, idempotent bool) Retry {
	switch class {
	case NotRun:
		return notRunReason(f)
	case Unknown:
		if idempotent {
			return unknownReason(f.Cause)
		}
	case Responded:
		if idempotent && !f.GaveUp {
			return statusReason(f.Status)
		}
	}
	return RetryNone
}

// BodyConsumed reports whether the request body cannot be sent again. kept says
// that all of it is in memory; of a streamed one, a part may be gone.
func BodyConsumed(f Facts, kept bool) bool {
	return f.BodyTaken || f.Wrote && !kept
}

func notRunReason(f Facts) Retry {
	if f.Wrote {
		if f.GaveUp {
			return RetryNone
		}
		return RetryShed
	}
	switch f.Cause {
	case CauseCanceled, CauseRequestBody, CauseInternal:
		return RetryNone
	case CauseExpired:
		return RetryExpired
	case CauseConnectionLimit:
		return RetryConnectionLimit
	}
	return RetryDial
}

func unknownReason(c Cause) Retry {
	switch c {
	case CauseReset:
		return RetryReset
	case CauseTimeout, CauseExpired:
		return RetryTimeout
	case CauseTruncated:
		return RetryTruncated
	case CauseMalformed:
		return RetryMalformed
	}
	return RetryNone
}

func statusReason(status int) Retry {
	switch status {
	case 502:
		return RetryStatus502
	case 503:
		return RetryStatus503
	case 504:
		return RetryStatus504
	}
	return RetryNone
}

// Health is what an attempt says about the upstream.
type Health int

// The judgements. An attempt that the caller or this host ended says nothing.
const (
	HealthInconclusive Health = iota
	HealthGood
	HealthBad
)

// HealthOf judges the upstream by the facts of an attempt. A server that sheds
// load works as it should.
func HealthOf(f Facts, class Class) Health {
	switch f.Cause {
	case CauseCanceled, CauseExpired, CauseRequestBody, CauseConnectionLimit, CauseInternal:
		return HealthInconclusive
	case CauseNone:
	default:
		return HealthBad
	}
	if class == NotRun {
		return HealthInconclusive
	}
	if f.Status >= 500 {
		return HealthBad
	}
	return HealthGood
}
