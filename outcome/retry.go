package outcome

// Retry is the reason for another attempt.
type Retry string

// Retry reasons. They are a stable interface for metrics.
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

// Retries returns every retry reason except RetryNone.
func Retries() []Retry {
	return []Retry{
		RetryDial, RetryExpired, RetryConnectionLimit, RetryShed, RetryReset, RetryTimeout, RetryTruncated, RetryMalformed,
		RetryStatus502, RetryStatus503, RetryStatus504,
	}
}

// Withheld is the reason why a retry that the outcome of the attempt allows was
// not made.
type Withheld string

// Reasons for withheld retries. They are a stable interface for metrics.
const (
	WithheldAttempts Withheld = "attempts"
	WithheldBudget   Withheld = "budget"
	WithheldBody     Withheld = "body"
	WithheldDeadline Withheld = "deadline"
)

// WithheldReasons returns every reason for a withheld retry.
func WithheldReasons() []Withheld {
	return []Withheld{WithheldAttempts, WithheldBudget, WithheldBody, WithheldDeadline}
}

// RetryReason returns the reason to retry after an attempt with the given
// facts, or RetryNone if it must not be retried. A request that may have run is
// retried only if it is idempotent. A response with GaveUp is not retried,
// because a lower layer has already used up its retries.
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

// BodyConsumed reports whether the request body cannot be sent again. kept
// states that the complete body is in memory; a streamed body may already have
// been consumed in part.
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

// Health is what an attempt reveals about the health of the upstream.
type Health int

// Values of Health. An attempt that was ended by the caller or by this host is
// inconclusive.
const (
	HealthInconclusive Health = iota
	HealthGood
	HealthBad
)

// HealthOf returns what an attempt reveals about the health of the upstream.
// An upstream that rejects requests in order to shed load is not unhealthy.
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
