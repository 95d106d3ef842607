package box

import (
	"log"
	"net"
	"net/http"
	"net/netip"

	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// listen opens the listeners for callers, readiness checks and operators, and serves them.
func (b *Box) listen() error {
	callers, err := listenForCallers(b.settings.Front.String(), b.log.Named("callers"))
	if err != nil {
		return err
	}
	b.callers = callers
	b.frontServer = newServer(b.gateway)
	b.frontServer.ConnState = callers.handleState
	b.frontServer.ErrorLog = log.New(serverErrorLog{b.log}, "", 0)
	ready := http.NewServeMux()
	ready.HandleFunc("/ready", b.serveReady)
	operators := http.NewServeMux()
	operators.HandleFunc("/metrics", b.serveMetrics)
	operators.HandleFunc("/status", b.serveStatus)
	operators.HandleFunc("POST "+ReleasePath, b.serveRelease)
	for _, l := range []struct {
		address netip.AddrPort
		server  *http.Server
	}{
		{b.settings.Ready, newServer(ready)},
		{netip.AddrPortFrom(b.settings.Front.Addr(), uint16(b.options.MetricsPort)), newServer(operators)},
	} {
		socket, err := net.Listen("tcp", l.address.String())
		if err != nil {
			return errors.Wrap(err, "listen on "+l.address.String())
		}
		go b.serveOn(socket, l.server)
	}
	go b.serveOn(callers, b.frontServer)
	return nil
}

// newServer returns a server that bounds the heads of requests and the rests of connections.
func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// serveOn serves the connections of a listener until the server or the listener is closed.
func (b *Box) serveOn(l net.Listener, s *http.Server) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) && !b.stopping.Load() {
		b.log.Error("server stopped unexpectedly", zap.Stringer("address", l.Addr()), zap.Error(err))
	}
}

// serverErrorLog writes the errors of an http.Server to the log.
type serverErrorLog struct{ log *zap.Logger }

// Write logs one error message.
func (e serverErrorLog) Write(line []byte) (int, error) {
	e.log.Debug("error on a caller's connection", zap.ByteString("what", line))
	return len(line), nil
}
