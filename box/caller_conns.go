package box

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// quietTime is the time without a new connection after which a stopping box stops listening.
// Connections that wait to be accepted are reset then.
const quietTime = 100 * time.Millisecond

// callerConns is the listener for callers, with the open connections that it accepted.
type callerConns struct {
	*net.TCPListener
	log *zap.Logger

	mu         sync.Mutex
	open       map[*callerConn]bool
	ended      map[connEnd]int // closed connections
	acceptedAt time.Time       // when the last connection was accepted
}

// listenForCallers listens on an address.
func listenForCallers(address string, log *zap.Logger) (*callerConns, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen on "+address)
	}
	return &callerConns{
		TCPListener: l.(*net.TCPListener),
		log:         log,
		open:        make(map[*callerConn]bool),
		ended:       make(map[connEnd]int),
	}, nil
}

// Accept waits for the next connection.
func (cs *callerConns) Accept() (net.Conn, error) {
	accepted, err := cs.AcceptTCP()
	if err != nil {
		return nil, err
	}
	c := &callerConn{
		TCPConn: accepted,
		conns:   cs,
		idle:    true,
		isNew:   true,
		since:   time.Now(),
	}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.open[c] = true
	cs.acceptedAt = c.since
	return c, nil
}

// closeIdle closes the connections on which callers have begun no request.
func (cs *callerConns) closeIdle(now time.Time) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for c := range cs.open {
		c.closeIdle(now)
	}
}

// isDrained reports whether no connection is open and none was accepted for quietTime.
func (cs *callerConns) isDrained(now time.Time) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return len(cs.open) == 0 && now.Sub(cs.acceptedAt) >= quietTime
}

// openCount returns the number of open connections.
func (cs *callerConns) openCount() int {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return len(cs.open)
}

// handleState handles a change of a connection's state in the HTTP server.
func (cs *callerConns) handleState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.serve()
	case http.StateIdle:
		c.becomeIdle()
	}
}

// remove records that a connection was closed; took is how long it had been in its last state.
func (cs *callerConns) remove(c *callerConn, end connEnd, took time.Duration) {
	cs.mu.Lock()
	delete(cs.open, c)
	cs.ended[end]++
	cs.mu.Unlock()
	metrics.GetOrCreateCounter(fmt.Sprintf("dillsaddle_caller_connections_closed_total{state=%q}", end)).Inc()
	if end == endedUnanswered {
		cs.log.Warn("caller's connection closed with a request unanswered", zap.Stringer("caller", c.RemoteAddr()), zap.Duration("after", took))
	}
}

// logEnds logs how the connections were closed, and how many are open.
func (cs *callerConns) logEnds() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.log.Info("callers' connections",
		zap.Int("open", len(cs.open)),
		zap.Int("answered", cs.ended[endedAnswered]),
		zap.Int("idle", cs.ended[endedIdle]),
		zap.Int("caller_left", cs.ended[endedByCaller]),
		zap.Int("incomplete", cs.ended[endedIncomplete]),
		zap.Int("unanswered", cs.ended[endedUnanswered]),
	)
}
