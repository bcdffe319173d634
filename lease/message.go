// Package lease grants the slots of upstreams to entry hosts for short terms.
// Each unit, which is the upstreams of one service in one region, is owned by
// one entry host, which grants its slots; the other hosts hold the slots they
// were granted and renew them. All state is soft: a lease that is not renewed
// expires on both sides, at the holder first.
//
// Messages may be lost, delayed, duplicated and reordered. Every message
// carries all state that its receiver has not confirmed, as absolute values, so
// that a later message makes up for a lost one.
package lease

import "time"

const (
	// MaxTerm is the longest time for which a slot is granted without a
	// renewal. A new owner waits at least this long before its first grant, so
	// that all leases of its predecessor have expired.
	MaxTerm = 900 * time.Millisecond
	// RenewInterval is the time between two renewals. Two renewals fit into
	// MaxTerm, so the loss of one message does not end a lease.
	RenewInterval = 400 * time.Millisecond
	// HandoverMargin is added to the wait of a new owner. It covers the time
	// until the previous owner has learned of the new one and stopped renewing.
	HandoverMargin = 200 * time.Millisecond
)

// Unit identifies the slots that one owner grants together: those of the
// upstreams of a service in a region. An ask covers any of these upstreams.
type Unit struct {
	Service string
	Region  string
	// Long marks the separate unit of the slots that long requests may use. A
	// long request needs one slot of this unit in addition to one of the
	// ordinary unit.
	Long bool
}

// Slots is a number of slots of one upstream.
type Slots struct {
	Upstream string
	Count    int
}

// Ask is a message from a holder to an owner. An ask without units only renews
// the leases.
type Ask struct {
	// Session is higher than that of any earlier session of the holder with the
	// owner. A new session revokes everything granted in earlier ones.
	Session uint64
	// Sequence numbers the asks of the session, starting at 1.
	Sequence uint64
	// Seen is the highest sequence number of any answer received in this
	// session.
	Seen uint64
	// Fresh is set until the holder has received the first answer of the
	// session.
	Fresh bool
	Units []UnitAsk
}

// UnitAsk is the part of an ask that concerns one unit.
type UnitAsk struct {
	Unit Unit
	// Claims lists the slots that the holder holds or still uses. It gives back
	// the slots of all other upstreams.
	Claims []Slots
	// Wanted is the number of additional slots needed by requests that are
	// waiting now.
	Wanted int
	// Spare is the number of additional slots to be granted only if they are
	// free.
	Spare int
	// Except names the upstreams that the waiting requests cannot use.
	Except []string
	// Idle is the number of held slots that no request uses.
	Idle int
	// Tied is the number of slots that long requests use. They do not count
	// towards the holder's share, since its short requests cannot use them.
	Tied int
}

// Answer is a message from an owner to a holder. It renews all leases of the
// session.
type Answer struct {
	Session uint64
	// Asked is the sequence number of the last ask that the owner applied. The
	// term of the leases starts at the instant at which the holder sent that
	// ask.
	Asked uint64
	// Sequence numbers the answers of the session, starting at 1.
	Sequence uint64
	// For is the term of the leases. Holders apply at most MaxTerm.
	For time.Duration
	// Restart means that the owner does not know the session and the holder
	// must start a new one.
	Restart bool
	Units   []UnitAnswer
}

// UnitAnswer is the part of an answer that concerns one unit.
type UnitAnswer struct {
	Unit Unit
	// Refused means that the sender grants no slots of the unit, because in its
	// view another host owns the unit or because it is a new owner that must
	// still wait. Wait is the remaining wait, or 0 when another host is the
	// owner.
	Refused bool
	Wait    time.Duration
	// Grants lists all granted slots. No slots are granted on other upstreams.
	Grants []Slots
	// Recall asks the holder to keep at most Keep slots of the unit. With
	// IdleOnly, the holder gives back only slots that no request uses, and
	// responds even when it has none.
	Recall   bool
	Keep     int
	IdleOnly bool
}
