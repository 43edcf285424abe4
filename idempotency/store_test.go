package idempotency_test

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/redwingnotch/redwingnotch/platform"
)

// memoryStore is a store whose next Puts can be made to fail.
type memoryStore struct {
	mu      sync.Mutex
	version uint64
	objects map[string]platform.Object
	writes  int
	down    bool
	lose    int   // answers of Puts to lose after they took effect
	blind   bool  // reads fail
	strange error // of the next Put, which takes effect; nil for none
}

func newStore() *memoryStore { return &memoryStore{objects: make(map[string]platform.Object)} }

func (s *memoryStore) set(f func(*memoryStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

func (s *memoryStore) Get(_ context.Context, _ platform.Kind, name string) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.blind {
		return platform.Object{}, platform.ErrUnavailable
	}
	if o, ok := s.objects[name]; ok {
		return o, nil
	}
	return platform.Object{}, platform.ErrNotFound
}

func (s *memoryStore) List(_ context.Context, _ platform.Kind, prefix string) ([]platform.Object, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []platform.Object
	for name, o := range s.objects {
		if strings.HasPrefix(name, prefix) {
			found = append(found, o)
		}
	}
	return found, s.version, nil
}

func (s *memoryStore) Put(_ context.Context, kind platform.Kind, name string, value []byte, expect uint64, writer string) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, platform.ErrUnavailable
	}
	if s.objects[name].Version != expect {
		return 0, platform.ErrConflict
	}
	s.version++
	s.writes++
	s.objects[name] = platform.Object{Kind: kind, Name: name, Version: s.version, Writer: writer, Value: value}
	if err := s.strange; err != nil {
		s.strange = nil
		return 0, err
	}
	if s.lose > 0 {
		s.lose--
		return 0, platform.ErrUnknown
	}
	return s.version, nil
}

func (s *memoryStore) Delete(_ context.Context, _ platform.Kind, name string, expect uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[name].Version != expect {
		return platform.ErrConflict
	}
	delete(s.objects, name)
	return nil
}

func (s *memoryStore) Watch(context.Context, platform.Kind, uint64, time.Duration) ([]platform.Event, uint64, error) {
	return nil, 0, platform.ErrUnavailable
}
