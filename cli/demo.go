package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"golang.org/x/sync/errgroup"

	"wisteriapond/entryhost"
	"wisteriapond/settings"
	"wisteriapond/standin"
)

const (
	demoBackends   = 4
	demoSlots      = 3
	demoEntryHosts = 3
	demoDelay      = 5 * time.Millisecond
)

type demoCommand struct{}

// Run starts the stand-ins and three entry hosts on loopback until an
// interrupt.
func (c *demoCommand) Run(ctx context.Context, stdout io.Writer) error {
	d := &demo{platform: standin.NewPlatform()}
	d.group, d.ctx = errgroup.WithContext(ctx)
	if err := d.start(); err != nil {
		return err
	}
	fmt.Fprintf(stdout, "entry hosts:\n")
	for _, host := range d.hosts {
		fmt.Fprintf(stdout, "  %s  (operators: http://%s/status)\n", host.Address(), host.AdminAddress())
	}
	fmt.Fprintf(stdout, "try:\n  curl -i http://%s/catalogue/urn-7\n", d.hosts[0].Address())
	return d.group.Wait()
}

type demo struct {
	ctx      context.Context
	group    *errgroup.Group
	platform *standin.Platform
	url      string
	hosts    []*entryhost.Host
}

func (d *demo) start() error {
	address, err := d.serve(d.platform)
	if err != nil {
		return err
	}
	d.url = "http://" + address
	if err := d.startBackends(); err != nil {
		return err
	}
	for i := range demoEntryHosts {
		if err := d.startEntryHost(fmt.Sprintf("entry-%d", i+1)); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	d.group.Go(func() error {
		if err := server.Serve(listener); err != http.ErrServerClosed {
			return err
		}
		return nil
	})
	context.AfterFunc(d.ctx, func() { server.Close() })
	return listener.Addr().String(), nil
}

func (d *demo) startBackends() error {
	var upstreams []map[string]any
	var hosts []standin.HostLine
	for i := range demoBackends {
		name := fmt.Sprintf("backend-%d", i+1)
		address, err := d.serve(standin.NewBackend(name, demoSlots, demoDelay))
		if err != nil {
			return err
		}
		upstreams = append(upstreams, map[string]any{
			"name": name, "host": name, "address": address, "region": "mtl", "failure_domain": "mtl-a",
			"slots": demoSlots, "connections": 220,
		})
		hosts = append(hosts, standin.HostLine{
			Host: name, Address: address, Region: "mtl", FailureDomain: "mtl-a", Role: "backend", Epoch: 1, State: "live",
		})
	}
	part, err := json.Marshal(map[string]any{
		"service":   "catalogue",
		"match":     []map[string]any{{"path_prefix": "/"}},
		"upstreams": upstreams,
		"not_run":   map[string]any{"status": standin.NotRunStatus, "header": standin.NotRunHeader, "value": standin.NotRunValue},
	})
	if err != nil {
		return err
	}
	d.platform.SetHosts(hosts)
	d.platform.PublishConfiguration(1, map[string][]byte{"catalogue": part}, nil)
	return nil
}

func (d *demo) startEntryHost(name string) error {
	host, err := entryhost.New(&settings.Settings{
		Host:          name,
		Region:        "mtl",
		FailureDomain: "mtl-a",
		Listen:        "127.0.0.1:0",
		Admin:         "127.0.0.1:0",
		Platform:      d.url,
	}, newLogger(os.Stderr))
	if err != nil {
		return err
	}
	d.hosts = append(d.hosts, host)
	context.AfterFunc(d.ctx, host.Stop)
	d.group.Go(func() error { return host.Run(context.WithoutCancel(d.ctx)) })
	return nil
}
