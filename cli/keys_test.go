package cli_test

import (
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("keys", func() {
	// Guards against certificates without the requested addresses, an existing CA
	// that is overwritten, and host names that are paths.
	It("creates a CA and the key of a host and shows them", func() {
		directory := GinkgoT().TempDir()
		status, _, problems := run("keys", "ca", directory, "--name", "deployment-1")
		Expect(problems).To(BeEmpty())
		Expect(status).To(Equal(0))
		status, _, problems = run("keys", "host", directory, "--ca", directory, "--host", "entry-1",
			"--address", "127.0.0.1", "--address", "::1")
		Expect(problems).To(BeEmpty())
		Expect(status).To(Equal(0))
		status, out, _ := run("keys", "show", filepath.Join(directory, "ca.pem"), filepath.Join(directory, "entry-1.pem"))
		Expect(status).To(Equal(0))
		Expect(out).To(ContainSubstring("127.0.0.1, ::1"))
		Expect(strings.Count(out, "expires")).To(Equal(2))

		status, _, problems = run("keys", "ca", directory)
		Expect(status).NotTo(Equal(0))
		Expect(problems).To(ContainSubstring("file exists"))
		status, _, _ = run("keys", "host", directory, "--ca", directory, "--host", "../x", "--address", "127.0.0.1")
		Expect(status).NotTo(Equal(0))
	})
})

var _ = Describe("replay", func() {
	// Guards against a replay that treats an unrelated file as an empty recording.
	It("refuses a file that is not a recording", func() {
		file := filepath.Join(GinkgoT().TempDir(), "events")
		Expect(os.WriteFile(file, []byte("nothing\n"), 0o600)).To(Succeed())
		status, out, problems := run("replay", file)
		Expect(status).NotTo(Equal(0))
		Expect(out).To(BeEmpty())
		Expect(problems).To(ContainSubstring("no event log"))
	})
})
