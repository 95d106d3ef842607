package shard

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// shardCount is well above the number of CPUs of a typical box.
const shardCount = 64

// Map is a sharded map with string keys. It is safe for concurrent use.
type Map[V any] struct {
	shards [shardCount]shard[V]
}

type shard[V any] struct {
	mu     sync.Mutex
	values map[string]V
	_      [40]byte // padding against false sharing
}

// NewMap returns an empty map.
func NewMap[V any]() *Map[V] {
	m := &Map[V]{}
	for i := range m.shards {
		m.shards[i].values = make(map[string]V)
	}
	return m
}

func (m *Map[V]) shard(key string) *shard[V] {
	return &m.shards[xxhash.Sum64String(key)%shardCount]
}

// Get returns the value of a key and whether it exists.
func (m *Map[V]) Get(key string) (V, bool) {
	s := m.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.values[key]
	return v, ok
}

// Put sets the value of a key.
func (m *Map[V]) Put(key string, v V) {
	s := m.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.values[key] = v
}

// Delete removes a key.
func (m *Map[V]) Delete(key string) {
	s := m.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.values, key)
}

// GetOrCreate returns the value of a key. If it is missing, build is called under the
// shard's lock to create it.
func (m *Map[V]) GetOrCreate(key string, build func() V) V {
	s := m.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.values[key]
	if !ok {
		v = build()
		s.values[key] = v
	}
	return v
}

// Each calls visit for each key and value, without holding a lock.
func (m *Map[V]) Each(visit func(key string, v V)) {
	for i := range m.shards {
		for key, v := range m.shards[i].snapshot() {
			visit(key, v)
		}
	}
}

func (s *shard[V]) snapshot() map[string]V {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string]V, len(s.values))
	for key, v := range s.values {
		all[key] = v
	}
	return all
}

// Len returns the number of values.
func (m *Map[V]) Len() int {
	total := 0
	for i := range m.shards {
		m.shards[i].mu.Lock()
		total += len(m.shards[i].values)
		m.shards[i].mu.Unlock()
	}
	return total
}
