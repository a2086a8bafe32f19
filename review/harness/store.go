package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store: a log of topics with conditional
// appends. Topics whose names begin with "keyed." also keep the newest record of each key.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
	server *http.Server
	// onAppend decides, for an append from a caller, whether it gets no answer and is
	// executed after a delay. It may be nil.
	onAppend func(caller netip.Addr) (late time.Duration, lost bool)
	rec      *recorder
}

type topic struct {
	records [][]byte
	newest  map[string]keyed
	changed chan struct{}
}

type keyed struct {
	value  []byte
	offset int
}

func newStore(rec *recorder) *store { return &store{topics: map[string]*topic{}, rec: rec} }

func (s *store) listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /siskinknot/log-append", s.handleAppend)
	mux.HandleFunc("GET /siskinknot/log-read", s.handleRead)
	mux.HandleFunc("GET /siskinknot/log-newest", s.handleNewest)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return nil
}

func (s *store) close() { _ = s.server.Close() }

// topic returns a topic, which it creates if necessary. The caller holds the mutex.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]keyed{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// put appends a record with a key, as the operator does.
func (s *store) put(name, key string, value []byte) {
	r := append([]byte{byte(len(key))}, key...)
	s.append(name, "", [][]byte{append(r, value...)})
}

// append appends records if at is empty or the end of the topic.
func (s *store) append(name, at string, records [][]byte) (offset, end int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	offset = len(t.records)
	if at != "" && at != strconv.Itoa(offset) {
		return 0, offset, false
	}
	for _, r := range records {
		if strings.HasPrefix(name, "keyed.") && len(r) > 0 && len(r) > int(r[0]) {
			key, value := string(r[1:1+int(r[0])]), r[1+int(r[0]):]
			if len(value) == 0 {
				delete(t.newest, key)
			} else {
				t.newest[key] = keyed{value, len(t.records)}
			}
		}
		t.records = append(t.records, r)
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return offset, len(t.records), true
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records [][]byte
	for len(data) >= 4 {
		n := int(binary.BigEndian.Uint32(data))
		if n > len(data)-4 {
			break
		}
		records = append(records, data[4:4+n])
		data = data[4+n:]
	}
	if len(data) > 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(2 * time.Millisecond) // append_ms
	name, at := r.URL.Query().Get("topic"), r.URL.Query().Get("at")
	caller, _ := netip.ParseAddrPort(r.RemoteAddr)
	if s.onAppend != nil {
		if late, lost := s.onAppend(caller.Addr()); lost {
			s.rec.log("store: append of %d records by %s at %s gets no answer, and is executed in %v if its condition still holds", len(records), caller.Addr(), at, late)
			time.AfterFunc(late, func() {
				_, end, ok := s.append(name, at, records)
				s.rec.log("store: the late append by %s at %s: executed=%v, end=%d", caller.Addr(), at, ok, end)
			})
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	offset, end, ok := s.append(name, at, records)
	s.rec.log("store: append of %d records by %s at %s: executed=%v, end=%d", len(records), caller.Addr(), at, ok, end)
	if !ok {
		reply(w, http.StatusPreconditionFailed, map[string]any{"end": end})
		return
	}
	reply(w, http.StatusOK, map[string]any{"offset": offset, "end": end})
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	maxKB, err := strconv.Atoi(q.Get("max_kb"))
	if err != nil {
		maxKB = 1024
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		end, changed := len(t.records), t.changed
		body := binary.BigEndian.AppendUint64(nil, uint64(end))
		body = binary.BigEndian.AppendUint64(body, 0)
		for i := from; i < end && (i == from || len(body)+len(t.records[i]) <= maxKB<<10); i++ {
			body = binary.BigEndian.AppendUint32(body, uint32(len(t.records[i])))
			body = append(body, t.records[i]...)
		}
		s.mu.Unlock()
		if from < end || wait == 0 {
			_, _ = w.Write(body)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	items := []item{}
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	end := len(t.records)
	for key, k := range t.newest {
		if key > r.URL.Query().Get("after") {
			items = append(items, item{key, base64.StdEncoding.EncodeToString(k.value), k.offset})
		}
	}
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > 500
	if more {
		items = items[:500]
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "more": more, "end": end})
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
