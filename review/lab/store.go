package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"

	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/standin/objectapi"
)

// Store is the platform's store on a loopback address. While it is silent it accepts
// connections and answers nothing.
type Store struct {
	API    *objectapi.API
	server *httptest.Server
	closed chan struct{}

	mu     sync.Mutex
	silent bool
}

// NewStore starts an empty store.
func NewStore() *Store {
	s := &Store{API: objectapi.New(), closed: make(chan struct{})}
	s.server = httptest.NewServer(s)
	return s
}

// Address returns the store's host:port.
func (s *Store) Address() string { return strings.TrimPrefix(s.server.URL, "http://") }

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	if s.isSilent() {
		s.hang(r) // a call that came during the silence gets no answer
	}
	rec := httptest.NewRecorder()
	s.API.ServeHTTP(rec, r)
	if s.isSilent() {
		s.hang(r) // such as a watch that was waiting
	}
	for name, values := range rec.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(rec.Code)
	_, _ = w.Write(rec.Body.Bytes()) // fails if the caller has left
}

// hang keeps a call without an answer until its caller has left.
func (s *Store) hang(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-s.closed:
	}
	panic(http.ErrAbortHandler)
}

func (s *Store) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

// SetSilent begins or ends a silence. The connections of calls that came during it stay silent.
func (s *Store) SetSilent(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = on
}

// Write stores the value as the newest version of the object, as the operator and the
// replicas do.
func (s *Store) Write(kind platform.Kind, name string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	ctx := context.Background()
	old, err := s.API.Get(ctx, kind, name)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	_, err = s.API.Put(ctx, kind, name, data, old.Version, "writer")
	return err
}

// Delete removes the object.
func (s *Store) Delete(kind platform.Kind, name string) error {
	ctx := context.Background()
	old, err := s.API.Get(ctx, kind, name)
	if err != nil {
		return err
	}
	return s.API.Delete(ctx, kind, name, old.Version)
}

// Close stops the store.
func (s *Store) Close() {
	close(s.closed)
	s.server.CloseClientConnections()
	s.server.Close()
}
