package cli_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/config"
	"wisteriapond/document"
	"wisteriapond/entryhost"
	"wisteriapond/settings"
	"wisteriapond/standin"
)

const waitTimeout = 20 * time.Second

const validPart = `{
	"service": %q,
	"match": [{"path_prefix": %q}],
	"upstreams": [
		{"name": "a", "host": "a", "address": "127.0.0.1:1", "region": "mtl", "failure_domain": "mtl-a",
		 "slots": 3, "connections": 220},
	],
}`

// Guards against published examples that a process would refuse, or whose sizes
// differ from those in section 1.6 of the design page.
var _ = DescribeTable("the example deployments",
	func(name string, want map[string]int, slots, connections int) {
		status, out, problems := run("check", "../examples/"+name, "../examples/"+name+"/settings.json")
		Expect(problems).To(BeEmpty())
		Expect(status).To(Equal(0), out)
		table, err := document.LoadDirectory(os.DirFS("../examples/" + name))
		Expect(err).NotTo(HaveOccurred())
		sizes := make(map[string]int)
		for _, service := range table.Services() {
			sizes[service.Name] = len(service.Upstreams)
			regions, domains := make(map[string]bool), make(map[string]bool)
			for _, u := range service.Upstreams {
				regions[u.Region], domains[u.FailureDomain] = true, true
				Expect([]int{u.Slots, u.Connections}).To(Equal([]int{slots, connections}))
			}
			Expect([]int{len(regions), len(domains)}).To(Equal([]int{3, 6}))
		}
		Expect(sizes).To(Equal(want))
	},
	Entry(nil, "boisclair", map[string]int{"catalogue": 14, "orders": 12, "proofs": 12}, 3, 220),
	Entry(nil, "cedarline", map[string]int{"provenance": 23, "consignment": 12, "archives": 12}, 4, 260),
)

// Guards against orders that are routed to read-only hosts.
var _ = It("excludes read-only hosts from orders in the examples", func() {
	status, out, _ := run("explain", "--config", "../examples/boisclair", "--method", "post", "--json", "/orders/")
	Expect(status).To(Equal(0))
	var e config.Explanation
	Expect(json.Unmarshal([]byte(out), &e)).To(Succeed())
	Expect(e.Service).To(Equal("orders"))
	for _, u := range e.Upstreams {
		_, readOnly := u.Labels.Get("read_only")
		Expect(u.Eligible).To(Equal(!readOnly), u.Name)
		if readOnly {
			Expect([]string{u.Selector, u.Term}).To(Equal([]string{"!read_only", "!read_only"}))
		}
	}
	_, text, _ := run("explain", "--config", "../examples/boisclair", "--method", "POST", "/orders/")
	Expect(text).To(MatchRegexp(`orders-mtl-b-02 .* false +selector "!read_only", term "!read_only"`))
})

// Guards against an explanation of another route than the one that an entry host
// selects for the same target.
var _ = DescribeTable("explain takes the path as it is in a request",
	func(target, service string) {
		status, out, _ := run("explain", "--config", "../examples/boisclair", "--method", "POST", "--json", target)
		Expect(status).To(Equal(0))
		var e config.Explanation
		Expect(json.Unmarshal([]byte(out), &e)).To(Succeed())
		Expect(e.Service).To(Equal(service))
	},
	Entry("with an encoded slash", "/orders%2F7", ""),
	Entry("with dots", "/orders/../catalogue/7", "orders"),
	Entry("with a query", "/orders/?/catalogue/", "orders"),
	Entry("with a slash in the query only", "/orders?/", ""),
)

// Guards against a check command that accepts a configuration that a process
// refuses, or that reports other texts.
var _ = Describe("check and a running process", func() {
	DescribeTable("report the same text",
		func(parts map[string]string, want ...string) {
			dir := writeDeployment(parts)
			status, _, stderr := run("check", dir)
			Expect(status).To(Equal(2))
			Expect(strings.Split(strings.TrimSpace(stderr), "\n")).To(Equal(want))
			Expect(problemsOfProcess(parts, len(want))).To(ConsistOf(want))
		},
		Entry("for values out of range",
			map[string]string{"orders": strings.Replace(fmt.Sprintf(validPart, "orders", "/orders/"), `"slots": 3, "connections": 220`, `"slots": 0, "conections": 2`, 1)},
			"services/orders.json:5: upstreams[0].connections: must be between 1 and 65536, got 0",
			"services/orders.json:6: upstreams[0].conections: unknown field",
			"services/orders.json:6: upstreams[0].slots: must be between 1 and 4096, got 0"),
		Entry("for a prefix that no path begins with, since it has a query",
			map[string]string{"orders": fmt.Sprintf(validPart, "orders", "/orders/?x=")},
			"services/orders.json:3: match[0].path_prefix: must not contain ?"),
		Entry("for a match that two services claim",
			map[string]string{"orders": fmt.Sprintf(validPart, "orders", "/"), "proofs": fmt.Sprintf(validPart, "proofs", "/")},
			"services/proofs.json:3: match: the same match is claimed by service orders"),
		Entry("for a region in which no upstream stands",
			map[string]string{"orders": strings.Replace(fmt.Sprintf(validPart, "orders", "/"), `"upstreams"`, `"allowed_regions": ["mtl", "qc"], "upstreams"`, 1)},
			`services/orders.json: allowed_regions[1]: no upstream of any service is in the region "qc"`),
		Entry("for a part of another service",
			map[string]string{"orders": fmt.Sprintf(validPart, "proofs", "/")},
			"manifest.json: services.orders: the part with this hash is of another service"),
	)
})

// Guards against a directory that is accepted although its parts differ from its
// manifest.
var _ = It("check compares the manifest with the part files", func() {
	dir := writeDeployment(map[string]string{"orders": fmt.Sprintf(validPart, "orders", "/orders/"), "proofs": fmt.Sprintf(validPart, "proofs", "/proofs/")})
	changed := fmt.Sprintf(validPart, "orders", "/order/")
	Expect(os.WriteFile(filepath.Join(dir, "services", "orders.json"), []byte(changed), 0o600)).To(Succeed())
	Expect(os.Remove(filepath.Join(dir, "services", "proofs.json"))).To(Succeed())
	Expect(os.WriteFile(filepath.Join(dir, "services", "extra.json"), fmt.Appendf(nil, validPart, "extra", "/extra/"), 0o600)).To(Succeed())
	status, _, stderr := run("check", dir)
	Expect(status).To(Equal(2))
	Expect(stderr).To(And(
		ContainSubstring("services.orders: the hash of services/orders.json is "+string(document.HashOf([]byte(changed)))),
		ContainSubstring("services.proofs: there is no file services/proofs.json"),
		ContainSubstring("services/extra.json: the manifest does not name this service"),
	))
})

// Guards against a document that is checked as one of another kind.
var _ = It("check detects the kind of each document and reports all problems together", func() {
	dir := GinkgoT().TempDir()
	write := func(name, text string) string {
		file := filepath.Join(dir, name)
		Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
		return file
	}
	part := write("a", fmt.Sprintf(validPart, "orders", "/orders/"))
	hosts := write("b", `{"hosts": []}`)
	manifest := write("c", `{"generation": 0}`)
	other := write("d", `{"colour": "red"}`)
	status, stdout, stderr := run("check", part, hosts, manifest, other, filepath.Join(dir, "missing"))
	Expect(status).To(Equal(2))
	Expect(stdout).To(And(ContainSubstring("ok: service part orders"), ContainSubstring("ok: host list, 0 hosts")))
	Expect(stderr).To(And(
		ContainSubstring(manifest+":1: generation: must be at least 1"),
		ContainSubstring(other+": is not a manifest"),
		ContainSubstring("missing: no such file"),
	))
})

// writeDeployment writes the documents that the stand-in platform serves to a
// directory and returns its path.
func writeDeployment(parts map[string]string) string {
	dir := GinkgoT().TempDir()
	platform := publish(parts)
	Expect(os.Mkdir(filepath.Join(dir, "services"), 0o700)).To(Succeed())
	keys := []string{document.ManifestKey}
	for name := range parts {
		keys = append(keys, document.PartKey(name))
	}
	for _, key := range keys {
		file := filepath.Join(dir, document.FileName(key))
		Expect(os.WriteFile(file, platform.Value(key), 0o600)).To(Succeed())
	}
	return dir
}

func publish(parts map[string]string) *standin.Platform {
	platform := standin.NewPlatform()
	raw := make(map[string][]byte, len(parts))
	for name, text := range parts {
		raw[name] = []byte(text)
	}
	platform.PublishConfiguration(1, raw, nil)
	return platform
}

// problemRecorder records the problems of refused configurations from the log.
type problemRecorder struct {
	mu       sync.Mutex
	problems []string
}

func (r *problemRecorder) HandleLog(entry *log.Entry) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if problem, ok := entry.Fields["problem"].(string); ok {
		r.problems = append(r.problems, problem)
	}
	return nil
}

func (r *problemRecorder) recorded() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.problems)
}

// problemsOfProcess runs an entry host with the parts until it has logged the
// given number of problems, and returns them.
func problemsOfProcess(parts map[string]string, count int) []string {
	server := httptest.NewServer(publish(parts))
	defer server.Close()
	recorder := &problemRecorder{}
	host, err := entryhost.New(&settings.Settings{
		Host: "entry-1", Region: "mtl", FailureDomain: "mtl-a",
		Listen: "127.0.0.1:0", Admin: "127.0.0.1:0", Platform: server.URL,
	}, &log.Logger{Handler: recorder, Level: log.InfoLevel})
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- host.Run(ctx) }()
	defer func() {
		cancel()
		Eventually(done).WithTimeout(waitTimeout).Should(Receive(BeNil()))
	}()
	Eventually(recorder.recorded).WithTimeout(waitTimeout).Should(HaveLen(count))
	return recorder.recorded()
}

// Guards against a region list of a service part that is not applied, or that
// operators cannot find as the reason.
var _ = It("explain names a region that the service does not allow", func() {
	part := strings.Replace(fmt.Sprintf(validPart, "orders", "/"), "\n\t],", `
		{"name": "b", "host": "b", "address": "127.0.0.1:2", "region": "qc", "failure_domain": "qc-a", "slots": 3, "connections": 220},
	],
	"allowed_regions": ["qc"],`, 1)
	status, text, problems := run("explain", "--config", writeDeployment(map[string]string{"orders": part}), "/x")
	Expect(status).To(Equal(0), problems)
	Expect(text).To(And(MatchRegexp(`(?m)^regions: +qc$`), MatchRegexp(`a +a +mtl +mtl-a +false +region not allowed`), MatchRegexp(`b +b +qc +qc-a +true`)))
})
