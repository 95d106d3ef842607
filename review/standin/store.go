package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the stand-in for the platform's metadata store: reads, pages and watches.
type store struct {
	mu       sync.Mutex
	changed  *sync.Cond
	items    map[string]item
	history  []item
	revision uint64
	isAway   bool // it answers nothing
}

type item struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"` // base64
	Revision uint64 `json:"revision"`
	Made     uint64 `json:"made,omitempty"`
	Lease    int    `json:"lease"`
	Gone     bool   `json:"gone,omitempty"`
}

func startStore(address string) (*store, error) {
	s := &store{items: map[string]item{}, revision: 100}
	s.changed = sync.NewCond(&s.mu)
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	mux.HandleFunc("GET /kv-key", s.serveKey)
	go func() { _ = http.Serve(l, s.unlessAway(mux)) }()
	return s, nil
}

// unlessAway serves calls while the store isn't away; otherwise they get no answer.
func (s *store) unlessAway(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.hangIfAway(r)
		next.ServeHTTP(w, r)
	})
}

// hangIfAway waits until the caller has given up if the store is away, and closes the connection.
func (s *store) hangIfAway(r *http.Request) {
	s.mu.Lock()
	isAway := s.isAway
	s.mu.Unlock()
	if isAway {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

func (s *store) setAway(isAway bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isAway = isAway
}

func (s *store) put(key string, value any) {
	data, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := item{Key: key, Value: base64.StdEncoding.EncodeToString(data), Revision: s.revision, Made: s.revision}
	if old, ok := s.items[key]; ok {
		it.Made = old.Made
	}
	s.items[key] = it
	s.history = append(s.history, it)
	s.changed.Broadcast()
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Gone: true})
	s.changed.Broadcast()
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	at := s.revision
	s.mu.Unlock()
	if !ok {
		writeJSON(w, 404, map[string]any{"at": at})
		return
	}
	writeJSON(w, 200, map[string]any{"key": it.Key, "value": it.Value, "revision": it.Revision, "made": it.Made, "lease": 0, "at": at})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	items := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, q.Get("pathPrefix")) && key > q.Get("after") {
			items = append(items, it)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > 500
	if more {
		items = items[:500]
	}
	writeJSON(w, 200, map[string]any{"items": items, "more": more, "at": at})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	timer := time.AfterFunc(time.Until(until), s.changed.Broadcast)
	defer timer.Stop()
	s.mu.Lock()
	events := []item{}
	for {
		events = events[:0]
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("pathPrefix")) {
				events = append(events, it)
			}
		}
		if len(events) > 0 || !time.Now().Before(until) {
			break
		}
		s.changed.Wait()
	}
	at := s.revision
	events = append([]item(nil), events...)
	s.mu.Unlock()
	s.hangIfAway(r)
	writeJSON(w, 200, map[string]any{"events": append([]item{}, events...), "at": at})
}
