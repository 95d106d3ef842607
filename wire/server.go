package wire

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"
)

// Path is the HTTP path on which a process accepts WebSocket connections.
const Path = "/dillsaddle/1"

const (
	// readHeaderTimeout bounds the time to read a request's header.
	readHeaderTimeout = 5 * time.Second
	// maxHeaderBytes bounds the header of a request, which may be one of a caller, or of a response.
	maxHeaderBytes = 128 << 10
	// httpIdleTimeout is how long an idle connection for requests other than messages is kept;
	// it exceeds the time for which clients reuse one.
	httpIdleTimeout = time.Minute
)

// Server accepts connections from other processes.
type Server struct {
	http     *http.Server
	handlers *Handlers
	mu       sync.Mutex
	conns    map[*Conn]bool
}

// Listen starts a server on the given address.
func Listen(address netip.AddrPort, handlers *Handlers) (*Server, error) {
	listener, err := handlers.network.Listen(address)
	if err != nil {
		return nil, errors.Wrap(err, "listen on "+address.String()+"; free the port or change the address in the settings")
	}
	s := &Server{
		handlers: handlers,
		conns:    make(map[*Conn]bool),
	}
	s.http = &http.Server{
		Handler:           http.HandlerFunc(s.serveHTTP),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       httpIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

// serveHTTP accepts connections for messages and passes other requests to their handler, whose
// paths may be any.
func (s *Server) serveHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == Path && r.Header.Get("Upgrade") != "":
		s.accept(w, r)
	case s.handlers.http != nil:
		s.handlers.http.ServeHTTP(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *Server) accept(w http.ResponseWriter, r *http.Request) {
	socket, err := websocket.Accept(w, r, &websocket.AcceptOptions{
		CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return
	}
	remote, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		remote = netip.AddrPort{} // used in log messages only
	}
	c := newConn(socket, remote, s.handlers)
	s.track(c, true)
	defer s.track(c, false)
	c.serve(context.WithoutCancel(r.Context()))
}

func (s *Server) track(c *Conn, isOpen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if isOpen {
		s.conns[c] = true
		return
	}
	delete(s.conns, c)
}

// Broadcast pushes a message to every connected process.
func (s *Server) Broadcast(ctx context.Context, m Message) {
	s.mu.Lock()
	all := make([]*Conn, 0, len(s.conns))
	for c := range s.conns {
		all = append(all, c)
	}
	s.mu.Unlock()
	for _, c := range all {
		_ = c.Push(ctx, m)
	}
}

// Close closes the server and its connections.
func (s *Server) Close() {
	_ = s.http.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		go c.Close()
	}
}
