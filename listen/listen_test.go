package listen_test

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/listen"
)

const waitTimeout = 30 * time.Second

// scriptedListener fails with each of the errors in turn before it accepts.
type scriptedListener struct {
	net.Listener
	errs []error
}

func (l *scriptedListener) Accept() (net.Conn, error) {
	if len(l.errs) > 0 {
		err := l.errs[0]
		l.errs = l.errs[1:]
		return nil, err
	}
	return l.Listener.Accept()
}

func acceptError(errno syscall.Errno) error {
	return &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
}

var _ = Describe("A listener", func() {
	var inner net.Listener

	BeforeEach(func() {
		var err error
		inner, err = listen.Open("127.0.0.1:0", 64<<10)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { inner.Close() })
	})

	// Guards against a shortage that ends the server of a listener, and with it the
	// process.
	It("accepts connections after a shortage", func() {
		var reported []error
		l := listen.Through(&scriptedListener{Listener: inner, errs: []error{acceptError(syscall.EMFILE), acceptError(syscall.ENFILE), acceptError(syscall.ENOBUFS)}},
			func(err error) { reported = append(reported, err) })
		c, err := net.Dial("tcp", inner.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		accepted, err := l.Accept()
		Expect(err).NotTo(HaveOccurred())
		accepted.Close()
		Expect(reported).To(HaveLen(3))
	})

	// Guards against a broken listener that is asked again and again.
	It("fails with an error that does not pass", func() {
		broken := errors.New("broken")
		l := listen.Through(&scriptedListener{Listener: inner, errs: []error{broken}}, func(error) {})
		_, err := l.Accept()
		Expect(err).To(Equal(broken))
	})

	// Guards against a planned stop that waits for the end of a shortage.
	It("ends its wait when it is closed", func() {
		var errs []error
		for range 10_000 {
			errs = append(errs, acceptError(syscall.EMFILE))
		}
		waiting := make(chan struct{}, len(errs))
		l := listen.Through(&scriptedListener{Listener: inner, errs: errs}, func(error) { waiting <- struct{}{} })
		ended := make(chan error, 1)
		go func() {
			_, err := l.Accept()
			ended <- err
		}()
		Eventually(waiting).WithTimeout(waitTimeout).Should(Receive())
		l.Close()
		Eventually(ended).WithTimeout(waitTimeout).Should(Receive(MatchError(net.ErrClosed)))
	})
})
