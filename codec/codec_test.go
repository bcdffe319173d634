package codec_test

import (
	"reflect"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/codec"
)

type hash string

type inner struct {
	Name string
	Size int
}

type older struct {
	Inner inner
	List  []inner
	Ref   *inner
	Raw   []byte
}

type newer struct {
	Inner inner
	List  []inner
	Ref   *inner
	Raw   []byte
	More  []string
}

func encode[T any](value T) []byte {
	raw, err := codec.For(reflect.TypeFor[T]()).Encode(reflect.ValueOf(value))
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return raw
}

func decode[T any](raw []byte) (T, error) {
	var value T
	err := codec.For(reflect.TypeFor[T]()).Decode(raw, reflect.ValueOf(&value).Elem())
	return value, err
}

var _ = Describe("Codec", func() {
	full := newer{
		Inner: inner{Name: "a", Size: -1},
		List:  []inner{{Name: "b"}, {}},
		Ref:   &inner{},
		Raw:   []byte{0, 255},
		More:  []string{"x"},
	}

	// Guards against fields that are lost or mixed up.
	It("decodes what it encoded", func() {
		Expect(decode[newer](encode(full))).To(Equal(full))
		Expect(encode(newer{})).To(Equal([]byte{0xa0}))
	})

	// Guards against hashes that are modified, and against other text that is packed
	// like a hash.
	DescribeTable("packs hexadecimal text of named types", func(text hash, size int) {
		type value struct{ Hash hash }
		raw := encode(value{text})
		Expect(raw).To(HaveLen(size))
		Expect(decode[value](raw)).To(Equal(value{text}))
	},
		Entry("a hash", hash(strings.Repeat("0af9", 16)), 36),
		Entry("upper case", hash(strings.Repeat("0AF9", 16)), 68),
		Entry("an odd length", hash(strings.Repeat("a", 63)), 67),
		Entry("short text", hash("abcd"), 7),
		Entry("other text", hash(strings.Repeat("xy", 16)), 36),
	)

	// Guards against hosts of two releases that reject each other's messages during a
	// rolling upgrade.
	It("ignores unknown fields", func() {
		got, err := decode[older](encode(full))
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(older{Inner: full.Inner, List: full.List, Ref: full.Ref, Raw: full.Raw}))
		Expect(decode[newer](encode(got))).To(HaveField("More", BeNil()))
	})

	// Guards against small encodings that are expensive to decode, and against
	// ambiguous ones.
	DescribeTable("rejects", func(raw []byte) {
		_, err := decode[older](raw)
		Expect(err).To(HaveOccurred())
	},
		Entry("nothing", []byte{}),
		Entry("trailing bytes", []byte{0xa0, 0xa0}),
		Entry("a repeated key", []byte{0xa2, 0x04, 0x40, 0x04, 0x40}),
		Entry("an indefinite length", []byte{0xbf, 0xff}),
		Entry("a tag", []byte{0xc0, 0xa0}),
		Entry("invalid UTF-8", []byte{0xa1, 0x01, 0xa1, 0x01, 0x61, 0xff}),
		Entry("a wrong type", []byte{0xa1, 0x01, 0x05}),
		Entry("an array length above the limit", []byte{0xa1, 0x02, 0x9a, 0x00, 0x01, 0x00, 0x01}),
		Entry("deep nesting", append(make([]byte, 0, 40), []byte{
			0xa1, 0x09, 0x81, 0x81, 0x81, 0x81, 0x81, 0x81, 0x81, 0x81, 0x81, 0x81, 0x81, 0x81, 0x81, 0x81, 0x81, 0x81, 0x81, 0x80,
		}...)),
	)

	// Guards against types whose values would be encoded without some of their
	// fields.
	It("panics for unsupported types", func() {
		Expect(func() { codec.For(reflect.TypeFor[struct{ hidden int }]()) }).To(Panic())
		Expect(func() { codec.For(reflect.TypeFor[struct{ M map[string]int }]()) }).To(Panic())
		Expect(func() { codec.For(reflect.TypeFor[struct{ V any }]()) }).To(Panic())
	})
})
