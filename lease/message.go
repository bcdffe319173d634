// Package lease grants the slots of upstreams to entry hosts for short times.
// One entry host owns each unit, which is the upstreams of one service in one
// region, and grants their slots; the others hold what they were granted and
// renew it. All state is soft: what is not renewed expires on both sides, at
// the holder first.
//
// Messages may be lost, delayed, repeated and reordered. Every message carries
// all that its receiver has not confirmed, as absolute values, so that a later
// message makes up for an earlier one.
package lease

import "time"

const (
	// MaxTerm is the longest time for which a slot is granted without a
	// renewal, and so the wait of a new owner before its first grant.
	MaxTerm = 900 * time.Millisecond
	// RenewInterval is the time between two renewals. Two fit into Longest, so a
	// lost message costs no lease.
	RenewInterval = 400 * time.Millisecond
	// HandoverMargin is added to the wait of a new owner. It covers the time until the
	// earlier owner has heard of the new one and stopped renewing.
	HandoverMargin = 200 * time.Millisecond
)

// Unit is what one owner grants together: the upstreams of a service in a
// region. One ask covers any of them.
type Unit struct {
	Service string
	Region  string
	// Long sets the slots that long requests may use apart: they need one of
	// these besides one of the ordinary unit.
	Long bool
}

// Slots is a number of slots of one upstream.
type Slots struct {
	Upstream string
	Count    int
}

// Ask goes from a holder to an owner. Without units it only renews.
type Ask struct {
	// Session is higher than any earlier session of the holder with the owner.
	// A new session voids everything granted in earlier ones.
	Session uint64
	// Sequence counts the asks of the session from 1.
	Sequence uint64
	// Seen is the highest sequence number of an answer received.
	Seen uint64
	// Fresh is set until the first answer of the session came.
	Fresh bool
	Units []UnitAsk
}

// UnitAsk is what a holder says about one unit.
type UnitAsk struct {
	Unit Unit
	// Claims are the slots that the holder holds or still uses. Upstreams that
	// are not named are given back.
	Claims []Slots
	// Wanted is the number of further slots for requests that wait now.
	Wanted int
	// Spare is the number of further slots wanted only if they are free.
	Spare int
	// Except names upstreams that the waiting requests cannot use.
	Except []string
	// Idle is the number of slots held that no request uses.
	Idle int
	// Tied is the number of slots that long requests use. They do not count as
	// a part of the holder's share: its short requests cannot have them.
	Tied int
}

// Answer goes from an owner to a holder. It renews all leases of the session.
type Answer struct {
	Session uint64
	// Asked is the sequence number of the last ask that was applied. The lease
	// runs from the moment at which the holder sent that ask.
	Asked    uint64
	Sequence uint64
	For      time.Duration
	// Restart says that the owner does not know the session.
	Restart bool
	Units   []UnitAnswer
}

// UnitAnswer is what an owner says about one unit.
type UnitAnswer struct {
	Unit Unit
	// Refused says that the sender grants nothing of the unit, since by its
	// view another host owns it or the wait of a new owner is not over. Wait is
	// the rest of that wait, 0 when another host is the owner.
	Refused bool
	Wait    time.Duration
	// Grants are all slots granted. Upstreams that are not named are not.
	Grants []Slots
	// Recall asks the holder to keep at most Keep slots of the unit. With
	// IdleOnly, it gives back only slots that no request uses, and answers even
	// when it has none.
	Recall   bool
	Keep     int
	IdleOnly bool
}
