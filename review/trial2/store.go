//go:build review

package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// rangePage is the number of items of one answer of kv-range.
const rangePage = 500

// item is a record of the store.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
	expires   time.Time
}

// store is a stand-in for the platform's metadata store.
type store struct {
	server *http.Server

	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision uint64
	changed  chan struct{}
}

func newStore(address string) (*store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{items: map[string]item{}, changed: make(chan struct{}), revision: 1}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.serveKey)
	mux.HandleFunc("GET /v1/kv-range", s.serveRange)
	mux.HandleFunc("GET /v1/kv-watch", s.serveWatch)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	go s.expire()
	return s, nil
}

// put writes a value. With a lease it is removed when it is not written again in time.
func (s *store) put(key string, value []byte, lease time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision}
	if old, found := s.items[key]; found {
		it.Created = old.Created
	}
	if lease > 0 {
		it.Lease, it.expires = 1, time.Now().Add(lease)
	}
	s.items[key] = it
	s.record(it)
}

// beat renews the entry of a backend. The entry changes when more than sequence_number does.
func (s *store) beat(key string, fields map[string]any, lease time.Duration) {
	value, _ := json.Marshal(fields)
	s.mu.Lock()
	old, found := s.items[key]
	if found && sameEntry(old.Value, value) {
		old.expires = time.Now().Add(lease)
		s.items[key] = old
		s.mu.Unlock()
		return
	}
	s.mu.Unlock()
	s.put(key, value, lease)
}

// sameEntry reports whether two entries differ in sequence_number at most.
func sameEntry(a, b []byte) bool {
	var x, y map[string]any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	delete(x, "sequence_number")
	delete(y, "sequence_number")
	ja, _ := json.Marshal(x)
	jb, _ := json.Marshal(y)
	return string(ja) == string(jb)
}

func (s *store) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.items[key]; !found {
		return
	}
	delete(s.items, key)
	s.revision++
	s.record(item{Key: key, Revision: s.revision, Tombstone: true})
}

func (s *store) record(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes entries whose writer has been silent for too long.
func (s *store) expire() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		var lapsed []string
		for key, it := range s.items {
			if it.Lease != 0 && time.Now().After(it.expires) {
				lapsed = append(lapsed, key)
			}
		}
		s.mu.Unlock()
		for _, key := range lapsed {
			s.remove(key)
		}
	}
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, found := s.items[r.URL.Query().Get("key")]
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, it)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	more := false
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if len(items) == rangePage {
			more = true
			break
		}
		items = append(items, s.items[key])
	}
	answer(w, map[string]any{"items": items, "has_more": more, "as_of": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || waitErr != nil || wait < 0 || wait > 30000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	prefix := r.URL.Query().Get("prefix")
	for last := false; ; {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		revision, changed := s.revision, s.changed
		if len(events) > 0 || last {
			s.mu.Unlock()
			answer(w, map[string]any{"events": events, "as_of": revision})
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
