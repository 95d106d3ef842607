package shard

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// shardCount is a power of two well above the cores of a small box.
const shardCount = 64

// Map is a map by string key whose parts are locked apart.
type Map[V any] struct {
	parts [shardCount]part[V]
}

type part[V any] struct {
	mu     sync.Mutex
	values map[string]V
	_      [40]byte // keeps neighbours off one cache line
}

// NewMap builds an empty map.
func NewMap[V any]() *Map[V] {
	m := &Map[V]{}
	for i := range m.parts {
		m.parts[i].values = make(map[string]V)
	}
	return m
}

func (m *Map[V]) part(key string) *part[V] {
	return &m.parts[xxhash.Sum64String(key)%shardCount]
}

// Get gives the value of a key.
func (m *Map[V]) Get(key string) (V, bool) {
	p := m.part(key)
	p.mu.Lock()
	defer p.mu.Unlock()
	v, ok := p.values[key]
	return v, ok
}

// Put sets the value of a key.
func (m *Map[V]) Put(key string, v V) {
	p := m.part(key)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.values[key] = v
}

// Delete removes a key.
func (m *Map[V]) Delete(key string) {
	p := m.part(key)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.values, key)
}

// GetOrCreate gives the value of a key, made under the part's lock if missing.
func (m *Map[V]) GetOrCreate(key string, build func() V) V {
	p := m.part(key)
	p.mu.Lock()
	defer p.mu.Unlock()
	v, ok := p.values[key]
	if !ok {
		v = build()
		p.values[key] = v
	}
	return v
}

// Each calls visit for a copy of each part's values, without holding a lock.
func (m *Map[V]) Each(visit func(key string, v V)) {
	for i := range m.parts {
		for key, v := range m.parts[i].copied() {
			visit(key, v)
		}
	}
}

func (p *part[V]) copied() map[string]V {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make(map[string]V, len(p.values))
	for key, v := range p.values {
		all[key] = v
	}
	return all
}

// Len counts the values of all parts.
func (m *Map[V]) Len() int {
	total := 0
	for i := range m.parts {
		m.parts[i].mu.Lock()
		total += len(m.parts[i].values)
		m.parts[i].mu.Unlock()
	}
	return total
}
