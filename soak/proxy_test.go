package soak

import (
	"net"
	"sync"
	"time"
)

// fault is the fault that a proxy injects.
type fault int

const (
	faultNone fault = iota
	// faultDelay delays each chunk by chunkDelay.
	faultDelay
	// faultBlackhole discards all bytes in both directions.
	faultBlackhole
	// faultDropResponses forwards requests and discards responses.
	faultDropResponses
	// faultReset resets open and new connections.
	faultReset
	faultCount
)

const chunkDelay = 30 * time.Millisecond

// proxy is a loopback TCP proxy that injects faults.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	fault fault
	conns map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// setFault replaces the current fault. faultReset also closes the open
// connections.
func (p *proxy) setFault(f fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	if f == faultReset {
		p.closeConnections()
	}
}

func (p *proxy) close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeConnections()
}

func (p *proxy) closeConnections() {
	for c := range p.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

func (p *proxy) currentFault() fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentFault() == faultReset {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
			continue
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(from net.Conn) {
	to, err := net.Dial("tcp", p.target)
	if err != nil {
		from.Close()
		return
	}
	p.mu.Lock()
	p.conns[from], p.conns[to] = true, true
	p.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { p.copy(to, from, false) })
	copies.Go(func() { p.copy(from, to, true) })
	copies.Wait()
	p.mu.Lock()
	delete(p.conns, from)
	delete(p.conns, to)
	p.mu.Unlock()
}

// copy forwards bytes until a connection closes, subject to the current fault.
// responses is set for the direction from the target to the client.
func (p *proxy) copy(to, from net.Conn, responses bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		switch f := p.currentFault(); {
		case f == faultBlackhole, f == faultDropResponses && responses:
			n = 0
		case f == faultDelay:
			time.Sleep(chunkDelay)
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
