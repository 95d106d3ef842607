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
	b.frontServer = &http.Server{
		Handler:           b.gateway,
		ConnState:         callers.handleState,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          log.New(serverErrorLog{b.log}, "", 0),
	}
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
		{b.settings.Ready, &http.Server{Handler: ready}},
		{netip.AddrPortFrom(b.settings.Front.Addr(), uint16(b.options.MetricsPort)), &http.Server{Handler: operators}},
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
