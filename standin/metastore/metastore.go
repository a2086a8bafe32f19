// Package metastore stands in for the platform's metadata store, written from
// its description: a log of topics with offsets, conditional appends, retention,
// and topics that keep the newest record of each key. Producers and groups are
// left out, since the product uses neither.
//
// Faults can be set: the store may be down for all callers or for some, slow,
// lose answers to appends, carry appends out late, and forget its history; the
// connections that are open may go silent while new ones work.
//
// # Usage
//
//	store := metastore.New()
//	addr, err := store.Listen("127.0.0.1:0")
//	store.SetFault(metastore.Fault{Down: metastore.Busy})
//	store.Put("keyed.op", "config", document)
package metastore

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// keyedPrefix begins the names of topics that keep the newest record of each key.
const keyedPrefix = "keyed."

// Outage says how the store does not answer.
type Outage int

// The outages.
const (
	Up     Outage = iota
	Busy          // status 503
	Reset         // the connection is reset
	Silent        // no answer
)

// Fault is what is wrong with the store.
type Fault struct {
	// Down is the outage for the callers that For admits, all if it is nil.
	Down Outage
	For  func(caller netip.Addr) bool
	// Slow delays each answer.
	Slow time.Duration
	// Lost is the share of appends that are done and not answered, and Late the
	// share of those that are done only after a while.
	Lost, Late float64
	LateBy     time.Duration
}

// topic is a partition.
type topic struct {
	// records holds those that are kept, from offset first on.
	records [][]byte
	first   uint64
	newest  map[string]keyed
	// grown is closed and replaced with each append.
	grown chan struct{}
}

// keyed is the newest record of a key.
type keyed struct {
	value  []byte
	offset uint64
}

// end returns the offset after the last record.
func (t *topic) end() uint64 { return t.first + uint64(len(t.records)) }

// Store is a running stand-in. It is safe for concurrent use.
type Store struct {
	mu     sync.Mutex
	topics map[string]*topic
	fault  Fault
	calls  int
	server *http.Server
	rng    *rand.Rand
	// connections counts those that were opened, and the first silent ones of
	// them answer nothing any more.
	connections, silent int
}

// connectionNumber is the key of a connection's number in its context.
type connectionNumber struct{}

// New returns an empty store.
func New(seed uint64) *Store {
	s := &Store{topics: map[string]*topic{}, rng: rand.New(rand.NewPCG(seed, 2))}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /siskinknot/log-append", s.faulty(s.append))
	mux.HandleFunc("GET /siskinknot/log-read", s.faulty(s.read))
	mux.HandleFunc("GET /siskinknot/log-newest", s.faulty(s.newest))
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute, ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.connections++
		return context.WithValue(ctx, connectionNumber{}, s.connections)
	}}
	return s
}

// Listen serves the store at addr and returns where it listens.
func (s *Store) Listen(addr string) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return netip.AddrPort{}, err
	}
	go func() { _ = s.server.Serve(l) }()
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

// Close ends the store.
func (s *Store) Close() { _ = s.server.Close() }

// Handler returns the store's interface.
func (s *Store) Handler() http.Handler { return s.server.Handler }

// SetFault sets what is wrong from now on.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Silence makes the connections that are open now answer nothing any more, and
// not close either.
func (s *Store) Silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = s.connections
}

// isSilent reports whether nothing is to be answered on r's connection.
func (s *Store) isSilent(r *http.Request) bool {
	number, _ := r.Context().Value(connectionNumber{}).(int)
	s.mu.Lock()
	defer s.mu.Unlock()
	return number > 0 && number <= s.silent
}

// Calls returns how many calls there have been.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Forget drops the history of all topics; the newest records stay.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.topics {
		t.first = t.end()
		t.records = nil
	}
}

// Put appends a record to a keyed topic.
func (s *Store) Put(name, key string, value []byte) {
	body := append([]byte{byte(len(key))}, key...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(name, [][]byte{append(body, value...)})
}

// topicOf returns a topic. The caller holds the mutex.
func (s *Store) topicOf(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]keyed{}, grown: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// add appends records. The caller holds the mutex.
func (s *Store) add(name string, records [][]byte) {
	t := s.topicOf(name)
	for _, r := range records {
		if strings.HasPrefix(name, keyedPrefix) && len(r) > 0 && int(r[0]) < len(r) {
			key, value := string(r[1:1+r[0]]), r[1+int(r[0]):]
			if len(value) == 0 {
				delete(t.newest, key)
			} else {
				t.newest[key] = keyed{value: value, offset: t.end()}
			}
		}
		t.records = append(t.records, r)
	}
	close(t.grown)
	t.grown = make(chan struct{})
}

// faulty wraps a handler with the fault in force.
func (s *Store) faulty(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls++
		f := s.fault
		s.mu.Unlock()
		caller, _ := netip.ParseAddrPort(r.RemoteAddr)
		if f.Down != Up && (f.For == nil || f.For(caller.Addr())) {
			refuse(w, r, f.Down)
			return
		}
		time.Sleep(f.Slow)
		answer := httptest.NewRecorder()
		handler(answer, r)
		if s.isSilent(r) {
			refuse(w, r, Silent)
		}
		maps.Copy(w.Header(), answer.Header())
		w.WriteHeader(answer.Code)
		_, _ = w.Write(answer.Body.Bytes())
	}
}

// refuse does not answer a call.
func refuse(w http.ResponseWriter, r *http.Request, how Outage) {
	switch how {
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
	case Silent:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	default:
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}
}

// append serves log-append.
func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	records, ok := split(data)
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	f := s.fault
	lost, late := s.rng.Float64() < f.Lost, s.rng.Float64() < f.Late
	s.mu.Unlock()
	name, at := r.URL.Query().Get("topic"), r.URL.Query().Get("at")
	if lost && late {
		time.AfterFunc(f.LateBy, func() { s.appendAt(name, at, records) })
		refuse(w, r, Silent)
	}
	status, reply := s.appendAt(name, at, records)
	if lost {
		refuse(w, r, Silent)
	}
	writeJSON(w, status, reply)
}

// appendAt appends records if the topic ends at the offset at; "" is anywhere.
func (s *Store) appendAt(name, at string, records [][]byte) (int, map[string]uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topicOf(name)
	if at != "" && at != strconv.FormatUint(t.end(), 10) {
		return http.StatusPreconditionFailed, map[string]uint64{"end": t.end()}
	}
	offset := t.end()
	s.add(name, records)
	return http.StatusOK, map[string]uint64{"offset": offset, "end": t.end()}
}

// split cuts a body into records.
func split(data []byte) ([][]byte, bool) {
	var records [][]byte
	for len(data) > 0 {
		if len(data) < 4 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(data))
		if n > len(data)-4 {
			return nil, false
		}
		records = append(records, slices.Clone(data[4:4+n]))
		data = data[4+n:]
	}
	return records, true
}

// read serves log-read.
func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseUint(q.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topicOf(q.Get("topic"))
		first, end, grown := t.first, t.end(), t.grown
		var body []byte
		if from >= first && from < end {
			for _, rec := range t.records[from-first:] {
				body = binary.BigEndian.AppendUint32(body, uint32(len(rec)))
				body = append(body, rec...)
			}
		}
		s.mu.Unlock()
		if from < first {
			writeJSON(w, http.StatusGone, map[string]uint64{"first": first})
			return
		}
		if len(body) > 0 || wait == 0 {
			head := binary.BigEndian.AppendUint64(nil, end)
			head = binary.BigEndian.AppendUint64(head, first)
			_, _ = w.Write(append(head, body...))
			return
		}
		select {
		case <-grown:
		case <-deadline:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// newest serves log-newest.
func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	const pageSize = 500
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset uint64 `json:"offset"`
	}
	reply := struct {
		Items []item `json:"items"`
		More  bool   `json:"more"`
		End   uint64 `json:"end"`
	}{Items: []item{}}
	s.mu.Lock()
	t := s.topicOf(r.URL.Query().Get("topic"))
	reply.End = t.end()
	for key, k := range t.newest {
		if key > r.URL.Query().Get("after") {
			reply.Items = append(reply.Items, item{key, base64.StdEncoding.EncodeToString(k.value), k.offset})
		}
	}
	s.mu.Unlock()
	slices.SortFunc(reply.Items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	if len(reply.Items) > pageSize {
		reply.Items, reply.More = reply.Items[:pageSize], true
	}
	writeJSON(w, http.StatusOK, reply)
}

// writeJSON writes an answer.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
