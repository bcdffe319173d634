package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"wisteriapond/document"
	"wisteriapond/entryhost"
	"wisteriapond/settings"
	"wisteriapond/standin"
)

const (
	loopback = "127.0.0.1"
	// Offsets from the base port of the demo.
	demoAdminOffset    = 10
	demoPlatformOffset = 20
	demoPeerOffset     = 30

	demoHeaderTimeout = 5 * time.Second
	demoReadyTimeout  = 10 * time.Second
	demoReadyInterval = 20 * time.Millisecond
	// demoAcceptFor is short because there is no load balancer in front of the
	// demo.
	demoAcceptFor = 2 * time.Second
)

type demoCommand struct {
	BasePort int `default:"18080" help:"Port of the first entry host, from which the other ports are derived. 0 lets the system choose all ports."`
}

// Help is shown by "demo --help".
func (*demoCommand) Help() string {
	return `Starts a stand-in platform, twelve stand-in backend servers in two regions for
the services catalogue, orders and proofs, and three entry hosts, all on
loopback, and prints example calls, which the README explains. Log entries are
written to standard error. An interrupt ends the demo with a planned stop.

Example:
  wisteriapond demo 2>demo.log`
}

// Run starts the demo and runs it until an interrupt.
func (c *demoCommand) Run(ctx context.Context, stdout io.Writer, logs logOutput) error {
	d, err := startDemo(ctx, c.BasePort, logs)
	if err != nil {
		return err
	}
	if err := d.awaitReady(); err != nil {
		return errors.Join(err, d.stop())
	}
	d.describe(stdout)
	return d.wait()
}

// demo is a complete deployment in one process.
type demo struct {
	ctx      context.Context
	cancel   context.CancelFunc
	group    *errgroup.Group
	basePort int
	logs     io.Writer

	platform   *standin.Platform
	deployment *standin.Deployment
	backends   map[string]*standin.Backend
	keys       *demoKeys
	hosts      []*entryhost.Host
	// url is the base URL of the platform and of its control endpoint.
	url string
}

func startDemo(ctx context.Context, basePort int, logs io.Writer) (*demo, error) {
	platform := standin.NewPlatform()
	d := &demo{
		basePort:   basePort,
		logs:       logs,
		platform:   platform,
		deployment: standin.NewDeployment(platform),
		backends:   make(map[string]*standin.Backend),
	}
	ctx, d.cancel = context.WithCancel(ctx)
	d.group, d.ctx = errgroup.WithContext(ctx)
	for _, step := range []func() error{d.startBackends, d.startPlatform, d.startEntryHosts} {
		if err := step(); err != nil {
			return nil, errors.Join(err, d.stop())
		}
	}
	return d, nil
}

// stop stops the demo and waits until it has ended.
func (d *demo) stop() error {
	d.cancel()
	return d.wait()
}

// wait waits until the demo has ended, and removes its keys.
func (d *demo) wait() error {
	err := d.group.Wait()
	if d.keys != nil {
		d.keys.remove()
	}
	return err
}

// startBackends starts a backend server for each upstream, adds its host to the
// host list and publishes the configuration.
func (d *demo) startBackends() error {
	parts := demoParts()
	var hosts []standin.HostEntry
	for p := range parts {
		for u := range parts[p].Upstreams {
			upstream := &parts[p].Upstreams[u]
			backend := standin.NewBackend(upstream.Host, upstream.Slots, demoServiceTime)
			address, err := d.serve(backend, 0)
			if err != nil {
				return err
			}
			upstream.Address = address
			d.backends[upstream.Host] = backend
			hosts = append(hosts, demoHostEntry(upstream))
		}
	}
	d.platform.SetHosts(hosts)
	_, err := d.deployment.Publish(parts...)
	return err
}

// startPlatform serves the platform and its control endpoint.
func (d *demo) startPlatform() error {
	control := standin.NewControl(d.platform, d.deployment, d.backends)
	control.Handle("POST /entries/{host}/stop", d.serveStopEntry)
	mux := http.NewServeMux()
	mux.Handle("/v1/", d.platform)
	mux.Handle("/control/", http.StripPrefix("/control", control))
	address, err := d.serve(mux, d.port(demoPlatformOffset))
	d.url = "http://" + address
	return err
}

func (d *demo) startEntryHosts() error {
	var err error
	if d.keys, err = newDemoKeys(); err != nil {
		return err
	}
	for i := range demoEntryLocations {
		if err := d.startEntryHost(i); err != nil {
			return err
		}
	}
	return nil
}

// startEntryHost starts entry host i. Its only configured peer is the first entry
// host, from which it learns about the others.
func (d *demo) startEntryHost(i int) error {
	name := entryName(i)
	keyFiles, err := d.keys.createHostKey(name)
	if err != nil {
		return err
	}
	s := settings.Defaults()
	s.Host = name
	s.Region = demoEntryLocations[i].region
	s.FailureDomain = demoEntryLocations[i].failureDomain
	s.Listen = d.address(i)
	s.Admin = d.address(demoAdminOffset + i)
	s.Platform = d.url
	s.AcceptFor = document.Duration(demoAcceptFor)
	s.PeerListen = d.address(demoPeerOffset + i)
	s.Keys = keyFiles
	if i > 0 {
		s.Peers = []string{d.hosts[0].PeerAddress()}
	}
	host, err := entryhost.New(s, newLogger(d.logs))
	if err != nil {
		return fmt.Errorf("%w (use --base-port to choose other ports)", err)
	}
	d.hosts = append(d.hosts, host)
	context.AfterFunc(d.ctx, host.Stop)
	d.group.Go(func() error { return host.Run(context.WithoutCancel(d.ctx)) })
	return nil
}

func entryName(i int) string { return fmt.Sprintf("entry-%d", i+1) }

// serve starts an HTTP server on loopback, which runs until the demo ends, and
// returns its address. Port 0 lets the system choose the port.
func (d *demo) serve(handler http.Handler, port int) (string, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(loopback, strconv.Itoa(port)))
	if err != nil {
		return "", fmt.Errorf("%w (use --base-port to choose other ports)", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: demoHeaderTimeout}
	d.group.Go(func() error {
		if err := server.Serve(listener); err != http.ErrServerClosed {
			return err
		}
		return nil
	})
	context.AfterFunc(d.ctx, func() { server.Close() })
	return listener.Addr().String(), nil
}

// port returns the port at an offset from the base port, or 0 if the system
// chooses the ports.
func (d *demo) port(offset int) int {
	if d.basePort == 0 {
		return 0
	}
	return d.basePort + offset
}

func (d *demo) address(offset int) string {
	return net.JoinHostPort(loopback, strconv.Itoa(d.port(offset)))
}

func (d *demo) serveStopEntry(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("host")
	for i, host := range d.hosts {
		if name == entryName(i) {
			host.Stop()
			fmt.Fprintf(w, "%s begins a planned stop\n", name)
			return
		}
	}
	http.Error(w, "unknown entry host "+name, http.StatusNotFound)
}

// awaitReady waits until every entry host is ready for requests.
func (d *demo) awaitReady() error {
	deadline := time.NewTimer(demoReadyTimeout)
	defer deadline.Stop()
	ticker := time.NewTicker(demoReadyInterval)
	defer ticker.Stop()
	for !d.ready() {
		select {
		case <-ticker.C:
		case <-d.ctx.Done():
			return context.Cause(d.ctx)
		case <-deadline.C:
			return errors.New("the entry hosts did not become ready in time; see the log on standard error for the reason")
		}
	}
	return nil
}

func (d *demo) ready() bool {
	for _, host := range d.hosts {
		if !host.Ready() {
			return false
		}
	}
	return true
}

func (d *demo) describe(w io.Writer) {
	fmt.Fprintln(w, "entry hosts:")
	for i, host := range d.hosts {
		location := demoEntryLocations[i]
		fmt.Fprintf(w, "  %s in %s  http://%s  (operators: http://%s)\n",
			entryName(i), location.failureDomain, host.Address(), host.AdminAddress())
	}
	fmt.Fprintf(w, "platform:\n  %s  (control: %s/control)\n\n", d.url, d.url)
	fmt.Fprintf(w, demoCalls, d.hosts[0].Address(), d.hosts[0].AdminAddress(), d.url)
}
