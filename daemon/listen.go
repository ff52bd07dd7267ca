package daemon

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"cuminstair.org/cuminstair/settings"
)

// readHeaderTimeout bounds reading the headers of requests to the operators' and the metrics listener.
const readHeaderTimeout = 10 * time.Second

// addListeners opens the listeners and adds their servers to the group.
func (d *Daemon) addListeners(g *run.Group) error {
	callers, err := d.listen("callers", d.Settings.Listen.Callers, d.Settings.TLS.Callers)
	if err != nil {
		return err
	}
	ended := make(chan struct{})
	g.Add(func() error {
		// Serve returns at the beginning of a planned stop, but the group ends as soon as one of its parts returns: wait
		// until the stop has ended.
		err := d.callers.Serve(callers)
		if err == nil {
			<-ended
		}
		return err
	}, func(error) {
		close(ended)
		_ = d.callers.Close()
	})
	if addr := d.Settings.Listen.Operators; addr != "" && d.Operators != nil {
		if err := d.addServer(g, "operators", addr, d.Settings.TLS.Operators, d.Operators); err != nil {
			return err
		}
	}
	if d.Settings.Listen.Operators != "" && d.Operators == nil {
		d.Log.Warn("operators' listener not opened: this program has no handler for it")
	}
	if addr := d.Settings.Listen.Metrics; addr != "" {
		mux := http.NewServeMux()
		mux.Handle("GET /metrics", promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{}))
		return d.addServer(g, "metrics", addr, settings.Files{}, mux)
	}
	return nil
}

// addServer opens a listener and adds an HTTP server for it to the group.
func (d *Daemon) addServer(g *run.Group, name, addr string, files settings.Files, h http.Handler) error {
	l, err := d.listen(name, addr, files)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	s.ErrorLog = d.Log.Named(name).StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug})
	g.Add(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve %s: %w", name, err)
		}
		return nil
	}, func(error) { _ = s.Close() })
	return nil
}

// listen opens a listener, with TLS if the settings name certificate files for it.
func (d *Daemon) listen(name, addr string, files settings.Files) (net.Listener, error) {
	config, err := files.Config()
	if err != nil {
		return nil, fmt.Errorf("read TLS files of %s: %w", name, err)
	}
	var lc net.ListenConfig
	l, err := lc.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen for %s: %w", name, err)
	}
	d.mu.Lock()
	d.addrs[name] = l.Addr()
	d.mu.Unlock()
	d.Log.Info("listening", "for", name, "addr", l.Addr().String(), "tls", config != nil)
	if config == nil {
		return l, nil
	}
	return tls.NewListener(l, config), nil
}
