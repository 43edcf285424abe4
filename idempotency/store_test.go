package idempotency_test

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/redwingnotch/redwingnotch/platform"
)

// memoryStore is an in-memory platform.Store whose calls can be made to fail.
type memoryStore struct {
	mu            sync.Mutex
	version       uint64
	objects       map[string]platform.Object
	writes        int   // Puts that took effect
	unavailable   bool  // Get and Put fail with ErrUnavailable
	lostResponses int   // number of Puts that take effect and return ErrUnknown
	failReads     bool  // Get fails with ErrUnavailable
	putErr        error // error of the next Put, which takes effect; nil for none
}

func newMemoryStore() *memoryStore { return &memoryStore{objects: make(map[string]platform.Object)} }

func (s *memoryStore) update(f func(*memoryStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

func (s *memoryStore) Get(_ context.Context, _ platform.Kind, name string) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable || s.failReads {
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
	if s.unavailable {
		return 0, platform.ErrUnavailable
	}
	if s.objects[name].Version != expect {
		return 0, platform.ErrConflict
	}
	s.version++
	s.writes++
	s.objects[name] = platform.Object{Kind: kind, Name: name, Version: s.version, Writer: writer, Value: value}
	if err := s.putErr; err != nil {
		s.putErr = nil
		return 0, err
	}
	if s.lostResponses > 0 {
		s.lostResponses--
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
