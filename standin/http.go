package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"os"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
)

func newServer(address netip.AddrPort) *server.Hertz {
	return server.New(
		server.WithHostPorts(address.String()),
		server.WithTransport(standard.NewTransporter),
		server.WithSenseClientDisconnection(true),
		server.WithDisablePrintRoute(true),
		server.WithMaxRequestBodySize(8<<20),
		server.WithReadTimeout(0),
		server.WithIdleTimeout(0),
	)
}

func (s *faultState) register(h *server.Hertz) {
	h.POST("/control/fault", func(_ context.Context, c *app.RequestContext) {
		var f Faults
		if err := json.Unmarshal(c.Request.Body(), &f); err != nil {
			c.String(http.StatusBadRequest, "not a fault document: %v", err)
			return
		}
		if f.Exit {
			os.Exit(1)
		}
		s.set(f)
		c.JSON(http.StatusOK, f)
	})
}
