package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/platform/platformtest"
)

// Signals that are sent to a process while it starts.
var (
	term   = []syscall.Signal{syscall.SIGTERM}
	twice  = []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM}
	before = []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}
	after  = []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP}
	many   = []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM}
)

// builtProgram is the built program. Its directory is removed after the suite.
var builtProgram string

func buildProgram() string {
	GinkgoHelper()
	if builtProgram != "" {
		return builtProgram
	}
	directory, err := os.MkdirTemp("", "wisteriapond-test-")
	Expect(err).NotTo(HaveOccurred())
	builtProgram = filepath.Join(directory, "wisteriapond")
	output, err := exec.Command("go", "build", "-o", builtProgram, ".").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(output))
	return builtProgram
}

var _ = AfterSuite(func() {
	if builtProgram != "" {
		os.RemoveAll(filepath.Dir(builtProgram))
	}
})

// anyAddress lets the system choose a port, so that no connection of another process
// can have it.
const anyAddress = "127.0.0.1:0"

// storeSettings returns the settings of a host that listens for callers, operators and,
// at the given address, other entry hosts.
func storeSettings(store *platformtest.Store, relay string, acceptFor time.Duration) []byte {
	return fmt.Appendf(nil, `{
		"host": "entry-1", "region": "mtl", "failure_domain": "mtl-a", "accept_for": %q, "kill_after": "6s",
		"listen": "127.0.0.1:0", "admin": "127.0.0.1:0",
		"store": {"address": %q, "domains": [{"name": "mtl-a", "region": "mtl"}], "listen": %q, "capacity": 1},
	}`, acceptFor, store.Address(), relay)
}

// startProcess starts the program and returns a channel that receives its result.
func startProcess(binary, settings string) (*exec.Cmd, <-chan error) {
	GinkgoHelper()
	command := exec.Command(binary, "serve", "--settings", settings)
	Expect(command.Start()).To(Succeed())
	exited := make(chan error, 1)
	go func() { exited <- command.Wait() }()
	return command, exited
}

// send sends signals to a process that may have ended.
func send(command *exec.Cmd, signals []syscall.Signal) {
	GinkgoHelper()
	for _, signal := range signals {
		if err := command.Process.Signal(signal); err != nil {
			Expect(err).To(MatchError(os.ErrProcessDone))
		}
	}
}

// ended waits for the end of a process and returns its result.
func ended(command *exec.Cmd, exited <-chan error, description string) error {
	GinkgoHelper()
	select {
	case err := <-exited:
		return err
	case <-time.After(waitTimeout):
		command.Process.Kill()
		Fail(fmt.Sprintf("a process is still there %v after SIGTERM, %s", waitTimeout, description))
		return nil
	}
}

// endedBySignal reports whether a process ended since it did not handle a signal.
func endedBySignal(err error) bool {
	var exit *exec.ExitError
	return errors.As(err, &exit) && exit.Sys().(syscall.WaitStatus).Signaled()
}

var _ = Describe("a process that starts", func() {
	var binary string
	var store *platformtest.Store

	BeforeEach(func() {
		binary = buildProgram()
		store = platformtest.NewStore()
		DeferCleanup(store.Close)
		store.Publish(1, "/health", []platformtest.Route{{
			Name: "r1", Host: "a.example", Prefix: "/x/", Service: "s1", Timeout: time.Second, Goal: time.Second, MaxAttempts: 2,
		}})
	})

	// Guards against a signal that ends the process before its settings are read, and
	// against a stop that is requested before the servers serve and never ends.
	DescribeTable("and gets signals while it reads its settings makes an ordinary stop",
		func(signals []syscall.Signal, acceptFor time.Duration) {
			file := filepath.Join(GinkgoT().TempDir(), "settings.json")
			Expect(syscall.Mkfifo(file, 0o600)).To(Succeed())
			command, exited := startProcess(binary, file)
			// This returns once the process has opened the file.
			pipe, err := os.OpenFile(file, os.O_WRONLY, 0)
			Expect(err).NotTo(HaveOccurred())
			send(command, signals)
			content := storeSettings(store, anyAddress, acceptFor)
			// Later reads find a regular file.
			Expect(os.WriteFile(file+".new", content, 0o600)).To(Succeed())
			Expect(os.Rename(file+".new", file)).To(Succeed())
			Expect(pipe.Write(content)).Error().NotTo(HaveOccurred())
			// The signals are delivered before the end of the file.
			time.Sleep(20 * time.Millisecond)
			Expect(pipe.Close()).To(Succeed())
			Expect(ended(command, exited, "sent while it read its settings")).To(Succeed())
		},
		Entry("SIGTERM", term, 50*time.Millisecond),
		Entry("SIGTERM, with no time to accept", term, time.Duration(0)),
		Entry("SIGTERM twice", twice, time.Duration(0)),
		Entry("SIGHUP and SIGTERM", before, time.Duration(0)),
		Entry("SIGTERM and SIGHUP", after, time.Duration(0)),
		Entry("all of them", many, 50*time.Millisecond),
	)

	// Guards against a moment in the start at which a SIGTERM leaves a process that never
	// ends. The moments lie around the one from which on the program handles signals,
	// and go up to the complete start. Before that one, the signal ends the process.
	DescribeTable("ends after signals at any moment",
		func(signals []syscall.Signal, acceptFor time.Duration) {
			file := filepath.Join(GinkgoT().TempDir(), "settings.json")
			Expect(os.WriteFile(file, storeSettings(store, anyAddress, acceptFor), 0o600)).To(Succeed())
			delay, handled := 5*time.Millisecond, 0
			for i := range 40 {
				command, exited := startProcess(binary, file)
				moment := delay + time.Duration(i%8)*500*time.Microsecond
				time.Sleep(moment)
				send(command, signals)
				err := ended(command, exited, fmt.Sprintf("sent %v after its start", moment))
				switch {
				case err == nil:
					handled++
					delay = delay * 4 / 5
				case endedBySignal(err):
					delay = delay*5/4 + time.Millisecond
				default:
					Expect(err).NotTo(HaveOccurred(), "sent %v after the start", moment)
				}
			}
			Expect(handled).To(BeNumerically(">", 0), "no process handled the signal")
		},
		Entry("SIGTERM", term, 20*time.Millisecond),
		Entry("SIGTERM, with no time to accept", term, time.Duration(0)),
		Entry("SIGTERM twice", twice, time.Duration(0)),
		Entry("SIGHUP and SIGTERM", before, time.Duration(0)),
		Entry("SIGTERM and SIGHUP", after, time.Duration(0)),
	)

	// Guards against a listener that stays open after the process has ended its other
	// parts: the port must be free again.
	It("frees the port for other entry hosts when it is stopped", func() {
		file := filepath.Join(GinkgoT().TempDir(), "settings.json")
		address := freeAddress()
		Expect(os.WriteFile(file, storeSettings(store, address, 0), 0o600)).To(Succeed())
		command, exited := startProcess(binary, file)
		Eventually(func() error {
			c, err := net.Dial("tcp", address)
			if err == nil {
				c.Close()
			}
			return err
		}).WithTimeout(waitTimeout).WithPolling(time.Millisecond).Should(Succeed())
		send(command, term)
		Expect(ended(command, exited, "sent when its port was open")).To(Succeed())
		l, err := net.Listen("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		l.Close()
	})
})
