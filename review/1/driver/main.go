// Command driver plays case 1: an upstream sends a second copy of a refusal, late,
// on a connection on which the same order has been sent again.
package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"wisteriapond/review/kit"
)

const (
	rounds         = 250
	roundInterval  = 400 * time.Millisecond
	ordersPerRound = 10
	// repeatShare is the share of the answers that are followed by a second copy.
	repeatShare = 0.03
	// Answers are repeated in spells of 5 s, more than once.
	spell         = 5 * time.Second
	spellInterval = 6 * time.Second
	// A second copy follows the answer after minRepeatDelay to maxRepeatDelay.
	minRepeatDelay = 200 * time.Millisecond
	maxRepeatDelay = 400 * time.Millisecond
	budget         = 4000 * time.Millisecond
)

// zonesOfHosts are the zones of the entry hosts, each of which gets one order a
// round.
var zonesOfHosts = []string{"mtl-a", "mtl-a", "mtl-a", "mtl-a", "mtl-a", "mtl-b", "mtl-b", "mtl-b", "mtl-b", "mtl-b"}

type order struct {
	answer kit.Answer
	id     string
}

func main() { kit.Main(run) }

func run(dir string, record *kit.Record) (broken bool, err error) {
	store, err := kit.NewStore(record)
	if err != nil {
		return false, err
	}
	store.Publish(7, []kit.Route{
		{
			Name: "r-orders", Host: "desk.example", Prefix: "/orders/", Service: "commandes", AtMostOnce: true,
			TimeoutMs: 4000, TargetMs: 1500, MaxAttempts: 2,
		},
		{Name: "r-lookup", Host: "desk.example", Prefix: "/lookup/", Service: "catalogue", TimeoutMs: 4000, TargetMs: 1500, MaxAttempts: 2},
	})
	random := rand.New(rand.NewPCG(1, 2))
	start := time.Now()
	upstream := &kit.Upstream{ID: "i-orders-1", Service: "commandes", Zone: "mtl-a", Slots: 3, Queue: 2, Work: 150 * time.Millisecond, RetryAfter: "0.2"}
	if kit.Trouble() {
		upstream.RepeatAnswer = func(string, int) time.Duration {
			if time.Since(start)%spellInterval > spell || random.Float64() >= repeatShare {
				return 0
			}
			return minRepeatDelay + time.Duration(random.Int64N(int64(maxRepeatDelay-minRepeatDelay)))
		}
	}
	// The other upstream makes the faulty one a half of all.
	other := &kit.Upstream{ID: "i-catalogue-1", Service: "catalogue", Zone: "mtl-b", Slots: 3, Queue: 2, Work: 50 * time.Millisecond}
	for _, u := range []*kit.Upstream{upstream, other} {
		if err := u.Start(store, record); err != nil {
			return false, err
		}
		defer u.Stop()
	}
	domains := []kit.Domain{{Name: "mtl-a", Region: "mtl"}, {Name: "mtl-b", Region: "mtl"}}
	hosts, err := kit.NewHosts(dir, record, store, domains, zonesOfHosts...)
	if err != nil {
		return false, err
	}
	defer kit.KillAll(hosts)
	defer kit.CopyLogs(hosts)
	if err := kit.StartAll(hosts); err != nil {
		return false, err
	}
	orders := sendOrders(record, hosts)
	// A request that was refused may still run later.
	time.Sleep(budget)
	return judge(record, upstream, orders), nil
}

func sendOrders(record *kit.Record, hosts []*kit.Host) []order {
	var mu sync.Mutex
	var orders []order
	var clients sync.WaitGroup
	for round := range rounds {
		for n := range ordersPerRound {
			clients.Go(func() {
				id := fmt.Sprintf("order-%d-%d", round, n)
				answer := kit.Send(record, hosts[n%len(hosts)].Front, kit.Request{
					Attempt: id, Method: "POST", Host: "desk.example", Path: "/orders/new", Body: "urn " + id, Budget: budget,
				})
				mu.Lock()
				defer mu.Unlock()
				orders = append(orders, order{answer: answer, id: id})
			})
		}
		time.Sleep(roundInterval)
	}
	clients.Wait()
	return orders
}

// judge counts the orders that ran more than once, and those that ran although
// their clients were told that they had not run and never would.
func judge(record *kit.Record, upstream *kit.Upstream, orders []order) bool {
	runs := make(map[string]int)
	for _, run := range upstream.Runs() {
		runs[run.Attempt]++
	}
	var twice, refused, served, promised int
	for _, o := range orders {
		if o.answer.Status == 200 {
			served++
		}
		if o.answer.Promised() {
			promised++
		}
		if runs[o.id] > 1 {
			twice++
			record.Say("TWICE: %s ran %d times", o.id, runs[o.id])
		}
		if o.answer.Promised() && runs[o.id] > 0 {
			refused++
			record.Say("REFUSED: %s was answered %d and has run", o.id, o.answer.Status)
		}
	}
	answers, repeats := upstream.Counts()
	record.Say("%d orders, %d served, %d told that they had not run; %d answers of the upstream, %d of them sent twice; %d broke REFUSED, %d broke TWICE",
		len(orders), served, promised, answers, repeats, refused, twice)
	return twice+refused > 0
}
