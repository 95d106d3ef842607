package admin

import (
	"bytes"
	"context"
	"net/http"
	"net/netip"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"
)

// Server is the HTTP server for operators.
type Server struct {
	http *server.Hertz
}

// Option configures a server.
type Option func(*server.Hertz)

// WithStatus serves the value that status returns as JSON at /status.
func WithStatus(status func() any) Option {
	return func(h *server.Hertz) {
		h.GET("/status", func(_ context.Context, c *app.RequestContext) { c.JSON(http.StatusOK, status()) })
	}
}

// Listen starts a server. ready returns what is missing, or "" when the process is ready.
func Listen(address netip.AddrPort, ready func() string, options ...Option) *Server {
	hlog.SetLevel(hlog.LevelError)
	h := server.New(
		server.WithHostPorts(address.String()),
		server.WithTransport(standard.NewTransporter),
		server.WithDisablePrintRoute(true),
	)
	h.GET("/metrics", func(_ context.Context, c *app.RequestContext) {
		var out bytes.Buffer
		metrics.WritePrometheus(&out, true)
		c.Data(http.StatusOK, "text/plain; charset=utf-8", out.Bytes())
	})
	h.GET("/healthz", func(_ context.Context, c *app.RequestContext) { c.String(http.StatusOK, "ok\n") })
	h.GET("/readyz", func(_ context.Context, c *app.RequestContext) {
		if missing := ready(); missing != "" {
			c.String(http.StatusServiceUnavailable, missing+"\n")
			return
		}
		c.String(http.StatusOK, "ready\n")
	})
	for _, o := range options {
		o(h)
	}
	go func() { _ = h.Run() }()
	return &Server{http: h}
}

// Close stops the server without waiting for requests in progress.
func (s *Server) Close() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = s.http.Shutdown(ctx)
}
