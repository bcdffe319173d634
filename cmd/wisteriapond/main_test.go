package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/standin"
	"wisteriapond/testsuite"
)

// programVariable is the environment variable that makes the test binary run
// main, so that tests can start a process and send it signals.
const programVariable = "WISTERIAPOND_AS_PROGRAM"

const waitTimeout = 30 * time.Second

func TestMain(m *testing.M) {
	if os.Getenv(programVariable) != "" {
		main()
	}
	os.Exit(m.Run())
}

func TestProgram(t *testing.T) {
	RegisterFailHandler(Fail)
	testsuite.Run(t, "program")
}

// program is a running "wisteriapond serve" process.
type program struct {
	*exec.Cmd
	base, admin string
	exited      chan error
}

func serve(platform string) *program {
	p := &program{base: "http://" + freeAddress(), admin: "http://" + freeAddress(), exited: make(chan error, 1)}
	file := filepath.Join(GinkgoT().TempDir(), "settings.json")
	Expect(os.WriteFile(file, fmt.Appendf(nil, `{
		"host": "entry-1", "region": "mtl", "failure_domain": "mtl-a", "accept_for": "100ms",
		"listen": %q, "admin": %q, "platform": %q,
	}`, strings.TrimPrefix(p.base, "http://"), strings.TrimPrefix(p.admin, "http://"), platform), 0o600)).To(Succeed())
	p.Cmd = exec.Command(os.Args[0], "serve", "--settings", file)
	p.Env = append(os.Environ(), programVariable+"=1")
	Expect(p.Start()).To(Succeed())
	go func() { p.exited <- p.Wait() }()
	DeferCleanup(func() { p.Process.Kill() })
	Eventually(func() (int, error) { return status(p.admin + "/readyz") }).WithTimeout(waitTimeout).Should(Equal(http.StatusOK))
	return p
}

// threadStates returns the state of each thread of the process as shown in /proc.
// "T" means stopped.
func (p *program) threadStates() ([]string, error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.Process.Pid))
	if err != nil {
		return nil, err
	}
	var states []string
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		_, after, _ := strings.Cut(string(raw), ") ")
		states = append(states, after[:1])
	}
	return states, nil
}

func freeAddress() string {
	address, err := testsuite.UnusedAddress()
	Expect(err).NotTo(HaveOccurred())
	return address
}

func status(url string) (int, error) {
	response, err := http.Get(url)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

var _ = Describe("a process", func() {
	var p *program
	var backend *standin.Backend

	BeforeEach(func() {
		backend = standin.NewBackend("backend-1", 3, 0)
		server := httptest.NewServer(backend)
		DeferCleanup(server.Close)
		platform := standin.NewPlatform()
		platform.PublishConfiguration(1, map[string][]byte{"all": fmt.Appendf(nil, `{
			"service": "all", "match": [{"path_prefix": "/"}],
			"upstreams": [{"name": "backend-1", "host": "backend-1", "address": %q,
				"region": "mtl", "failure_domain": "mtl-a", "slots": 3, "connections": 220}],
		}`, server.Listener.Addr().String())}, nil)
		platformServer := httptest.NewServer(platform)
		DeferCleanup(platformServer.Close)
		p = serve(platformServer.URL)
	})

	// Guards against a SIGTERM that aborts a download, or after which the process
	// does not exit with status 0.
	It("exits after a download that was in flight at SIGTERM", func() {
		response, err := http.Get(p.base + "/files/proof")
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		Expect(p.Process.Signal(syscall.SIGTERM)).To(Succeed())
		Eventually(func() (int, error) { return status(p.admin + "/readyz") }).WithTimeout(waitTimeout).
			Should(Equal(http.StatusServiceUnavailable))
		Expect(io.Copy(io.Discard, response.Body)).To(BeEquivalentTo(standin.DownloadBytes))
		Eventually(p.exited).WithTimeout(waitTimeout).Should(Receive(BeNil()))
	})

	// Guards against an order that runs twice or is lost because the process is
	// suspended when the order arrives.
	It("runs an order exactly once that arrived while it was suspended", func() {
		Expect(p.Process.Signal(syscall.SIGSTOP)).To(Succeed())
		// On a busy machine, threads keep running until one of them handles the
		// signal.
		Eventually(p.threadStates).WithTimeout(waitTimeout).Should(HaveEach("T"))
		statuses := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			request, err := http.NewRequest(http.MethodPost, p.base+"/orders", strings.NewReader("urn 7"))
			Expect(err).NotTo(HaveOccurred())
			request.Header.Set("X-Request", "order-1")
			response, err := http.DefaultClient.Do(request)
			Expect(err).NotTo(HaveOccurred())
			response.Body.Close()
			statuses <- response.StatusCode
		}()
		time.Sleep(time.Second)
		Expect(backend.Runs("order-1")).To(BeZero())
		Expect(p.Process.Signal(syscall.SIGCONT)).To(Succeed())
		Eventually(statuses).WithTimeout(waitTimeout).Should(Receive(Equal(http.StatusOK)))
		Expect(backend.Runs("order-1")).To(Equal(1))
	})
})
