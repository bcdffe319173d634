package peer

import (
	"net/netip"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/codec"
	"wisteriapond/config"
	"wisteriapond/core"
)

func testAddress(port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.3"), uint16(port))
}

var _ = Describe("a message", func() {
	message := core.Message{
		Accepted: &config.Version{Generation: 7, Hash: "ab"},
		Hosts:    []core.HostEntry{{Host: "entry-1", Epoch: 3}},
		Manifest: []byte("m"),
		Part:     []byte("p"),
	}

	// Guards against fields that are lost in the encoding and against bytes that
	// are missing from the counters.
	It("round-trips, and each byte is counted for a kind", func() {
		raw, err := Encode(&message)
		Expect(err).NotTo(HaveOccurred())
		Expect(Decode(raw)).To(Equal(message))
		total := 0
		seen := make(map[string]bool)
		countBytesByKind(&message, raw, func(kind string, n int64) {
			total += int(n)
			seen[kind] = true
		})
		const mapHeader = 1
		Expect(total).To(Equal(len(raw) - mapHeader))
		Expect(seen).To(HaveLen(4))
		Expect(Kinds()).To(ContainElements("accepted", "hosts", "manifest", "part"))
	})

	// Guards against a rolling upgrade in which two releases assign different
	// numbers to a field. Released fields keep their numbers; new ones are added to
	// the list with WISTERIAPOND_UPDATE=1.
	It("keeps the numbers of released fields", func() {
		const list = "testdata/fields.txt"
		fields := codec.Fields(messageType)
		if os.Getenv("WISTERIAPOND_UPDATE") != "" {
			Expect(os.WriteFile(list, []byte(strings.Join(fields, "\n")+"\n"), 0o644)).To(Succeed())
		}
		released, err := os.ReadFile(list)
		Expect(err).NotTo(HaveOccurred())
		for line := range strings.Lines(string(released)) {
			Expect(fields).To(ContainElement(strings.TrimSpace(line)))
		}
	})

	// Guards against messages larger than MaxMessage being sent or accepted.
	It("is rejected if it exceeds MaxMessage", func() {
		_, err := Encode(&core.Message{Part: make([]byte, MaxMessage)})
		Expect(err).To(MatchError(errTooLarge))
		_, err = Decode(make([]byte, MaxMessage+1))
		Expect(err).To(MatchError(errTooLarge))
	})
})

// FuzzDecode guards against messages that crash the decoder, and against decoded
// messages whose encoding does not round-trip.
func FuzzDecode(f *testing.F) {
	f.Fuzz(func(t *testing.T, raw []byte) {
		message, err := Decode(raw)
		if err != nil {
			return
		}
		again, err := Encode(&message)
		if err != nil {
			t.Fatalf("decoded message cannot be encoded: %v", err)
		}
		second, err := Decode(again)
		if err != nil {
			t.Fatalf("encoded message cannot be decoded: %v", err)
		}
		third, err := Encode(&second)
		if err != nil || string(third) != string(again) {
			t.Fatalf("encoding is not stable: %x, then %x", again, third)
		}
	})
}
