package core

import (
	"strconv"
	"strings"
	"time"

	"wisteriapond/outcome"
)

// Request log. An ordinary success has no log entry. A request that is refused,
// fails, is late or is aborted has one entry with everything that decided it.
// Entries beyond a rate are counted instead of written, so that logging never
// adds much to an overload.

const (
	// problemEntriesPerSecond bounds the log entries of requests that were refused,
	// failed, were aborted or got an error response, and lateEntriesPerSecond those
	// of requests that were served late.
	problemEntriesPerSecond = 100
	lateEntriesPerSecond    = 10
)

// attemptRecord describes one attempt of a request, for its log entry and for the
// estimate of service times.
type attemptRecord struct {
	upstream  string
	startedAt Instant
	// report is the load report used to choose the upstream, and reportAge its
	// age at that time.
	report    outcome.LoadReport
	reportAge time.Duration
	// running is the number of requests that this host already ran on the upstream
	// when it was chosen, and occupied the estimate of all that ran or waited there.
	// expected is the estimated duration; 0 for a request without a route.
	running  int
	occupied int
	expected time.Duration
	endedAt  Instant
	class    outcome.Class
	facts    outcome.Facts
	// waited is the time since the request arrived or the previous attempt ended.
	waited time.Duration
}

// recordStart records what decided an attempt.
func (r *request) recordStart(u *upstream, now Instant) {
	a := attemptRecord{upstream: u.config.Name, startedAt: now, report: u.reported.report, reportAge: now.Sub(u.reported.at), running: u.running, occupied: u.occupied(now)}
	from := r.arrivedAt
	if n := len(r.records); n > 0 {
		from = r.records[n-1].endedAt
	}
	a.waited = now.Sub(from)
	a.expected = r.expected
	r.records = append(r.records, a)
}

// recordEnd records the result of the latest attempt.
func (r *request) recordEnd(class outcome.Class, facts outcome.Facts, now Instant) {
	if n := len(r.records); n > 0 {
		a := &r.records[n-1]
		a.endedAt, a.class, a.facts = now, class, facts
	}
}

// String describes the attempt on one line, with times relative to the arrival of
// the request. Operators' tools parse the text.
func (a *attemptRecord) String(arrived Instant) string {
	var b strings.Builder
	b.WriteString(a.upstream)
	b.WriteString(" at ")
	b.WriteString(milliseconds(a.startedAt.Sub(arrived)))
	b.WriteString(", waited ")
	b.WriteString(milliseconds(a.waited))
	if a.report.Known {
		b.WriteString(", told " + strconv.Itoa(a.report.Running) + "," + strconv.Itoa(a.report.Waiting) + "," + strconv.Itoa(a.report.Slots))
		b.WriteString(" slowdown " + strconv.Itoa(a.report.Slowdown) + "% " + milliseconds(a.reportAge) + " ago")
	}
	b.WriteString(", own " + strconv.Itoa(a.running))
	if a.expected > 0 {
		b.WriteString(", expected " + milliseconds(a.expected))
	}
	if a.class == 0 {
		b.WriteString(": under way")
		return b.String()
	}
	b.WriteString(": " + a.class.String())
	if a.facts.Cause != outcome.CauseNone {
		b.WriteString(" (" + a.facts.Cause.String() + ")")
	}
	if a.facts.Status > 0 {
		b.WriteString(" status " + strconv.Itoa(a.facts.Status))
	}
	b.WriteString(" after " + milliseconds(a.endedAt.Sub(a.startedAt)))
	return b.String()
}

func milliseconds(d time.Duration) string {
	return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', 1, 64) + "ms"
}

// logRateLimit bounds the number of log entries in each second of the monotonic
// clock.
type logRateLimit struct {
	second int64
	used   int
}

// requestLogLimits bounds the request log: problems the entries of all kinds but
// late ones.
type requestLogLimits struct {
	problems logRateLimit
	late     logRateLimit
}

// allow reports whether another entry may be written, and counts it.
func (l *logRateLimit) allow(now Instant, limit int) bool {
	second := int64(now) / int64(time.Second)
	if second != l.second {
		l.second, l.used = second, 0
	}
	l.used++
	return l.used <= limit
}

// Kinds of request log entries: the values of the field outcome.
const (
	logKindRefused       = "refused"
	logKindFailed        = "failed"
	logKindErrorResponse = "error_answer"
	logKindAborted       = "broken_off"
	logKindLate          = "late"
)

// logRequest writes the log entry of a request, or counts it as omitted beyond the
// rate limit of its kind.
func (s *State) logRequest(r *request, kind, reason string) {
	rate, limit, level := &s.requestLog.problems, problemEntriesPerSecond, LogWarn
	if kind == logKindLate {
		rate, limit, level = &s.requestLog.late, lateEntriesPerSecond, LogInfo
	}
	if !rate.allow(s.now, limit) {
		s.count(CounterLogEntriesOmitted, kind)
		return
	}
	fields := []LogField{
		{Key: "request", Value: r.logID()},
		{Key: "outcome", Value: kind},
		{Key: "reason", Value: reason},
		{Key: "service", Value: r.service.config.Name},
		{Key: "version", Value: strconv.FormatUint(s.inForce().Generation, 10)},
		{Key: "took", Value: milliseconds(s.now.Sub(r.arrivedAt))},
		{Key: "allowed", Value: milliseconds(r.deadline.Sub(r.arrivedAt))},
		{Key: "waiting", Value: strconv.Itoa(r.service.waiting)},
	}
	if r.route != nil {
		fields = append(fields,
			LogField{Key: "route", Value: r.route.Name},
			LogField{Key: "goal", Value: milliseconds(r.goalAt().Sub(r.arrivedAt))},
			LogField{Key: "news_age", Value: milliseconds(s.storeStaleness())},
			LogField{Key: "retry_tokens", Value: strconv.Itoa(r.service.retryBudget.Tokens())})
	}
	if len(r.records) > 0 {
		fields = append(fields, LogField{Key: "attempts", Value: r.describeAttempts()})
	}
	s.out.add(Log{Level: level, Message: "request " + strings.ReplaceAll(kind, "_", " "), Fields: fields})
}

// logID returns the identifier of a request in the log: the caller's, or else its
// number.
func (r *request) logID() string {
	if r.name != "" {
		return r.name
	}
	return strconv.FormatUint(uint64(r.id), 10)
}

func (r *request) describeAttempts() string {
	texts := make([]string, 0, len(r.records))
	for i := range r.records {
		texts = append(texts, r.records[i].String(r.arrivedAt))
	}
	return strings.Join(texts, "; ")
}

// logResponse writes the log entry of a request whose response is an error or late.
func (s *State) logResponse(r *request, facts outcome.Facts) {
	switch {
	case facts.Status >= minServerErrorStatus:
		s.logRequest(r, logKindErrorResponse, "status_"+strconv.Itoa(facts.Status))
	case r.route != nil && r.goalAt().Before(s.now):
		s.logRequest(r, logKindLate, "goal")
	}
}
