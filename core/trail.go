package core

import (
	"strconv"
	"strings"
	"time"

	"wisteriapond/outcome"
)

// Log lines of requests. An ordinary success has none; a request that is
// refused, fails, is late or breaks off has one line with everything that
// decided it. Lines beyond a rate are counted instead of written, so that
// logging never adds much to an overload.

const (
	// badLinesPerSecond and lateLinesPerSecond bound the lines of requests that
	// were not served, and of those that were served late.
	badLinesPerSecond  = 100
	lateLinesPerSecond = 10
)

// step is one attempt of a request as its log line tells it.
type step struct {
	upstream string
	begun    Instant
	// told is the report on which the upstream was chosen, age that of it.
	told     outcome.LoadReport
	age      time.Duration
	running  int
	occupied int
	expected time.Duration
	ended    Instant
	class    outcome.Class
	facts    outcome.Facts
	// waited is the time since the request came or the attempt before ended.
	waited time.Duration
}

// noteStart remembers what decided an attempt.
func (r *request) noteStart(u *upstream, now Instant) {
	s := step{upstream: u.config.Name, begun: now, told: u.told.report, age: now.Sub(u.told.at), running: u.running, occupied: u.occupied(now)}
	from := r.arrivedAt
	if n := len(r.steps); n > 0 {
		from = r.steps[n-1].ended
	}
	s.waited = now.Sub(from)
	s.expected = r.expected
	r.steps = append(r.steps, s)
}

func (r *request) noteEnd(class outcome.Class, facts outcome.Facts, now Instant) {
	if n := len(r.steps); n > 0 {
		s := &r.steps[n-1]
		s.ended, s.class, s.facts = now, class, facts
	}
}

// String tells an attempt in one line.
func (s *step) String(arrived Instant) string {
	var b strings.Builder
	b.WriteString(s.upstream)
	b.WriteString(" at ")
	b.WriteString(milliseconds(s.begun.Sub(arrived)))
	b.WriteString(", waited ")
	b.WriteString(milliseconds(s.waited))
	if s.told.Known {
		b.WriteString(", told " + strconv.Itoa(s.told.Running) + "," + strconv.Itoa(s.told.Waiting) + "," + strconv.Itoa(s.told.Slots))
		b.WriteString(" slowdown " + strconv.Itoa(s.told.Slowdown) + "% " + milliseconds(s.age) + " ago")
	}
	b.WriteString(", own " + strconv.Itoa(s.running))
	if s.expected > 0 {
		b.WriteString(", expected " + milliseconds(s.expected))
	}
	if s.class == 0 {
		b.WriteString(": under way")
		return b.String()
	}
	b.WriteString(": " + s.class.String())
	if s.facts.Cause != outcome.CauseNone {
		b.WriteString(" (" + s.facts.Cause.String() + ")")
	}
	if s.facts.Status > 0 {
		b.WriteString(" status " + strconv.Itoa(s.facts.Status))
	}
	b.WriteString(" after " + milliseconds(s.ended.Sub(s.begun)))
	return b.String()
}

func milliseconds(d time.Duration) string {
	return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', 1, 64) + "ms"
}

// lineBudget bounds the log lines of one kind.
type lineBudget struct {
	second int64
	used   int
}

// requestLines bounds the log lines of requests.
type requestLines struct {
	bad  lineBudget
	late lineBudget
}

func (b *lineBudget) take(now Instant, limit int) bool {
	second := int64(now) / int64(time.Second)
	if second != b.second {
		b.second, b.used = second, 0
	}
	b.used++
	return b.used <= limit
}

// Kinds of log lines of requests.
const (
	lineRefused = "refused"
	lineFailed  = "failed"
	lineError   = "error_answer"
	lineBroken  = "broken_off"
	lineLate    = "late"
)

// logRequest writes the line of a request that did not go well.
func (s *State) logRequest(r *request, kind, reason string) {
	budget, limit, level := &s.lines.bad, badLinesPerSecond, LogWarn
	if kind == lineLate {
		budget, limit, level = &s.lines.late, lateLinesPerSecond, LogInfo
	}
	if !budget.take(s.now, limit) {
		s.count(CounterLinesLeftOut, kind)
		return
	}
	fields := []LogField{
		{Key: "request", Value: r.label()},
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
			LogField{Key: "retry_tokens", Value: strconv.Itoa(r.service.retries.Tokens())})
	}
	if len(r.steps) > 0 {
		fields = append(fields, LogField{Key: "attempts", Value: r.describeSteps()})
	}
	s.out.add(Log{Level: level, Message: "request " + strings.ReplaceAll(kind, "_", " "), Fields: fields})
}

// label names a request in logs: by the caller's name for it, or by a number.
func (r *request) label() string {
	if r.name != "" {
		return r.name
	}
	return strconv.FormatUint(uint64(r.id), 10)
}

func (r *request) describeSteps() string {
	texts := make([]string, 0, len(r.steps))
	for i := range r.steps {
		texts = append(texts, r.steps[i].String(r.arrivedAt))
	}
	return strings.Join(texts, "; ")
}

// logAnswer writes the line of an answered request if it is an error or late.
func (s *State) logAnswer(r *request, facts outcome.Facts) {
	switch {
	case facts.Status >= firstServerError:
		s.logRequest(r, lineError, "status_"+strconv.Itoa(facts.Status))
	case r.route != nil && r.goalAt().Before(s.now):
		s.logRequest(r, lineLate, "goal")
	}
}
