package peer

import (
	"fmt"
	"os"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/config"
	"wisteriapond/core"
	"wisteriapond/document"
	"wisteriapond/lease"
	"wisteriapond/membership"
)

// measureVariable is the environment variable that enables the measurements. They
// have no pass criterion.
const measureVariable = "WISTERIAPOND_MEASURE"

func sampleVersion(n int) *config.Version {
	return &config.Version{Generation: 41_000 + uint64(n), Hash: document.HashOf([]byte{byte(n)})}
}

func sampleUpdate(n int) membership.Update {
	return membership.Update{
		Member: membership.Member{
			Name:          fmt.Sprintf("entry-mtl-a-%d", n),
			Address:       fmt.Sprintf("10.1.1.%d:7000", 200+n),
			Region:        "mtl",
			FailureDomain: "mtl-a",
		},
		Incarnation: 1_796_383_240_000 + uint64(n),
		Status:      membership.Status(n % 2),
	}
}

func sampleUpdates(n int) []membership.Update {
	updates := make([]membership.Update, n)
	for i := range updates {
		updates[i] = sampleUpdate(i)
	}
	return updates
}

func sampleSlots(n int) []lease.Slots {
	slots := make([]lease.Slots, n)
	for i := range slots {
		slots[i] = lease.Slots{Upstream: fmt.Sprintf("catalogue-%d", i), Count: 1 + i%3}
	}
	return slots
}

// samples returns typical messages of a deployment with 15 entry hosts.
func samples() []struct {
	name    string
	message core.Message
} {
	unit := lease.Unit{Service: "catalogue", Region: "mtl"}
	ping := membership.Message{Kind: membership.Ping, Sequence: 90_000, Sender: sampleUpdate(1)}
	gossip := ping
	gossip.Updates = sampleUpdates(6)
	var marks []core.HostEntry
	var measured []core.Measurement
	for i := range 10 {
		marks = append(marks, core.HostEntry{
			Host: fmt.Sprintf("backend-%d", i), Address: fmt.Sprintf("10.1.2.%d:8080", i),
			Region: "mtl", FailureDomain: "mtl-b", Epoch: 7, Leaving: true,
		})
		measured = append(measured, core.Measurement{
			Service: "catalogue", Upstream: fmt.Sprintf("catalogue-%d", i), Age: time.Millisecond, Took: 1_234_567, Load: 2,
		})
	}
	return []struct {
		name    string
		message core.Message
	}{
		{"membership ping or ack", core.Message{Membership: &ping, MarksDigest: 1 << 60, Accepted: sampleVersion(1)}},
		{"membership ping with 6 updates", core.Message{Membership: &gossip, MarksDigest: 1 << 60, Accepted: sampleVersion(1)}},
		{"lease ask, 1 unit, 7 upstreams", core.Message{Ask: &lease.Ask{
			Session: 1_796_383_240_000, Sequence: 4_000, Seen: 3_999,
			Units: []lease.UnitAsk{{Unit: unit, Claims: sampleSlots(7), Wanted: 2}},
		}}},
		{"lease answer, 1 unit, 7 upstreams", core.Message{Answer: &lease.Answer{
			Session: 1_796_383_240_000, Asked: 4_000, Sequence: 4_100, For: lease.MaxTerm,
			Units: []lease.UnitAnswer{{Unit: unit, Grants: sampleSlots(7)}},
		}}},
		{"accepted version", core.Message{Accepted: sampleVersion(1)}},
		{"request for 3 parts", core.Message{WantParts: []config.Hash{
			document.HashOf([]byte{1}), document.HashOf([]byte{2}), document.HashOf([]byte{3}),
		}}},
		{"10 leaving marks", core.Message{Hosts: marks}},
		{"10 probe results", core.Message{Measured: measured}},
		{"5 KB part", core.Message{Part: make([]byte, 5_000)}},
	}
}

// Measures the size of encoded messages in bytes, compared with the default
// encoding of the CBOR library for the same structs.
var _ = It("measures the size of messages", func() {
	if os.Getenv(measureVariable) == "" {
		Skip("set " + measureVariable + "=1 to measure")
	}
	for _, sample := range samples() {
		raw, err := Encode(&sample.message)
		Expect(err).NotTo(HaveOccurred())
		plain, err := cbor.Marshal(sample.message)
		Expect(err).NotTo(HaveOccurred())
		GinkgoWriter.Printf("| %s | %d | %d | %.2f |\n", sample.name, len(plain), len(raw), float64(len(raw))/float64(len(plain)))
	}
})

// Measures the bytes that a connection sends in addition to its messages.
var _ = It("measures the overhead of a connection", func() {
	if os.Getenv(measureVariable) == "" {
		Skip("set " + measureVariable + "=1 to measure")
	}
	ca := newCA("deployment")
	one := startHost(anyPort, ca.Certificate, newKey(ca, "entry-1", validity))
	two := startHost(anyPort, ca.Certificate, newKey(ca, "entry-2", validity))
	sendUntilReceived(one, two, "a")
	stats := func() (sent, received uint64) {
		for _, c := range one.allConnections() {
			s := c.conn.ConnectionStats()
			return s.BytesSent, s.BytesReceived
		}
		return 0, 0
	}
	time.Sleep(time.Second)
	sent, received := stats()
	GinkgoWriter.Printf("handshake and first message: %d bytes out, %d bytes in\n", sent, received)
	const n = 200
	size := 0
	for range n {
		raw, err := Encode(&samples()[0].message)
		Expect(err).NotTo(HaveOccurred())
		size = len(raw)
		one.Send(two.Address(), samples()[0].message)
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(time.Second)
	sentAfter, receivedAfter := stats()
	GinkgoWriter.Printf("message of %d bytes, one at a time: %.1f bytes out, %.1f bytes back\n",
		size, float64(sentAfter-sent)/n, float64(receivedAfter-received)/n)
})

// Measures bursts of messages to one peer, alternating between protocolV1 with one
// datagram per message and protocolV2 with shared datagrams.
var _ = It("measures bursts of messages", func() {
	if os.Getenv(measureVariable) == "" {
		Skip("set " + measureVariable + "=1 to measure")
	}
	const bursts = 1_000
	ca := newCA("deployment")
	hub := startHost(anyPort, ca.Certificate, newKey(ca, "hub", validity))
	senders := map[string]*testHost{}
	for _, name := range protocols {
		senders[name] = startHost(anyPort, ca.Certificate, newKey(ca, "sender", validity))
		senders[name].offeredProtocols = []string{name}
		sendUntilReceived(senders[name], hub, name)
	}
	for _, size := range []int{1, 2, 4, 8} {
		idle := cpuTime()
		for range bursts {
			time.Sleep(time.Millisecond)
		}
		idle = cpuTime() - idle
		for _, name := range []string{protocolV1, protocolV2, protocolV1, protocolV2} {
			sender := senders[name]
			stats := sender.allConnections()[0].conn.ConnectionStats
			time.Sleep(100 * time.Millisecond)
			before, started := stats(), cpuTime()
			for range bursts {
				for range size {
					sender.Send(hub.Address(), samples()[0].message)
				}
				time.Sleep(time.Millisecond)
			}
			took, n := cpuTime()-started-idle, float64(bursts*size)
			time.Sleep(100 * time.Millisecond)
			after := stats()
			GinkgoWriter.Printf("| %s | %d | %.3f | %.1f | %.1f | %.1f |\n", name, size,
				float64(after.PacketsSent-before.PacketsSent)/n, float64(after.BytesSent-before.BytesSent)/n,
				float64(after.BytesReceived-before.BytesReceived)/n, float64(took.Microseconds())/n)
		}
	}
})

// Measures the memory and CPU time that connections and messages use, for both
// ends together.
var _ = It("measures memory and CPU time", func() {
	if os.Getenv(measureVariable) == "" {
		Skip("set " + measureVariable + "=1 to measure")
	}
	const hosts, messages = 64, 5_000
	ca := newCA("deployment")
	hub := startHost(anyPort, ca.Certificate, newKey(ca, "hub", validity))
	others := make([]*testHost, hosts)
	for i := range others {
		name := fmt.Sprintf("entry-%d", i)
		others[i] = startHost(anyPort, ca.Certificate, newKey(ca, name, validity))
	}
	before, started := memoryInUse(), cpuTime()
	for _, other := range others {
		sendUntilReceived(other, hub, "a")
	}
	GinkgoWriter.Printf("connection, both ends: %.0f KB, %.2f ms of CPU time\n",
		float64(memoryInUse()-before)/hosts/1e3, (cpuTime()-started).Seconds()*1e3/hosts)

	message := samples()[0].message
	started = cpuTime()
	for range messages {
		others[0].Send(hub.Address(), message)
		time.Sleep(time.Millisecond)
	}
	withMessages := cpuTime() - started
	started = cpuTime()
	for range messages {
		time.Sleep(time.Millisecond)
	}
	idle := cpuTime() - started
	GinkgoWriter.Printf("message, both ends: %.0f us of CPU time\n", float64((withMessages-idle).Microseconds())/messages)
})

func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	Expect(syscall.Getrusage(syscall.RUSAGE_SELF, &usage)).To(Succeed())
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func BenchmarkEncode(b *testing.B) {
	for _, sample := range samples() {
		b.Run(sample.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Encode(&sample.message); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkDecode(b *testing.B) {
	for _, sample := range samples() {
		raw, err := Encode(&sample.message)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(sample.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Decode(raw); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkPlain encodes the same structs with the default encoding of the library.
func BenchmarkPlain(b *testing.B) {
	for _, sample := range samples() {
		b.Run(sample.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := cbor.Marshal(sample.message); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkPlainDecode decodes the encodings of BenchmarkPlain.
func BenchmarkPlainDecode(b *testing.B) {
	for _, sample := range samples() {
		raw, err := cbor.Marshal(sample.message)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(sample.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				var message core.Message
				if err := cbor.Unmarshal(raw, &message); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
