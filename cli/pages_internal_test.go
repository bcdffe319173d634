package cli

import (
	"io"
	"os"
	"regexp"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/metrics"
	"wisteriapond/outcome"
)

// Guards against documentation and help texts with commands that the binary
// refuses.
var _ = It("parses every command in the pages, the help texts and the demo", func() {
	texts := []string{demoCalls}
	for _, page := range []string{"../README.md", "../docs/night.md", "../docs/settings.md", "../docs/configuration.md"} {
		raw, err := os.ReadFile(page)
		Expect(err).NotTo(HaveOccurred())
		texts = append(texts, string(raw))
	}
	for _, help := range []interface{ Help() string }{
		&serveCommand{}, &checkCommand{}, &explainCommand{}, &statusCommand{}, &demoCommand{}, &loadCommand{},
		&keysCACommand{}, &keysHostCommand{}, &replayCommand{},
	} {
		texts = append(texts, help.Help())
	}
	// The keys and replay commands require existing paths.
	GinkgoT().Chdir(GinkgoT().TempDir())
	Expect(os.Mkdir("ca", 0o700)).To(Succeed())
	Expect(os.Mkdir("host", 0o700)).To(Succeed())
	Expect(os.WriteFile("events", nil, 0o600)).To(Succeed())
	commands := 0
	for _, text := range texts {
		text = strings.ReplaceAll(text, "\\\n", " ")
		for _, match := range regexp.MustCompile(`(?m)^ *(?:bin/)?wisteriapond ([a-z][^|>&\n]*)`).FindAllStringSubmatch(text, -1) {
			line, _, _ := strings.Cut(match[1], " 2")
			parser, err := newParser(io.Discard, io.Discard)
			Expect(err).NotTo(HaveOccurred())
			Expect(parser.Parse(splitWords(line))).Error().NotTo(HaveOccurred(), line)
			commands++
		}
	}
	Expect(commands).To(BeNumerically(">=", 15))
})

// Guards against documentation with metrics and reasons that do not exist.
var _ = It("names only existing metrics and reasons in docs/night.md", func() {
	raw, err := os.ReadFile("../docs/night.md")
	Expect(err).NotTo(HaveOccurred())
	known := make(map[string]bool)
	for _, d := range metrics.Descriptions() {
		known[d.FullName()] = true
	}
	for _, name := range regexp.MustCompile(`wisteriapond_[a-z_]+`).FindAllString(string(raw), -1) {
		Expect(known).To(HaveKey(name))
	}
	reasons := make(map[string]bool)
	for _, reason := range outcome.Refusals() {
		reasons[string(reason)] = true
	}
	for _, reason := range outcome.Failures() {
		reasons[string(reason)] = true
	}
	for _, match := range regexp.MustCompile(`reason="([a-z_]+)"`).FindAllStringSubmatch(string(raw), -1) {
		Expect(reasons).To(HaveKey(match[1]))
	}
})

// splitWords splits a command line at spaces outside single quotes.
func splitWords(line string) []string {
	var words []string
	for i, part := range strings.Split(line, "'") {
		if i%2 == 1 {
			words = append(words, part)
			continue
		}
		words = append(words, strings.Fields(part)...)
	}
	return words
}
