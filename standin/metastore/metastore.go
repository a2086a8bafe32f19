// Package metastore simulates the platform's metadata store for tests. It is
// written from the description of that store: a log of topics with offsets,
// conditional appends and retention, and keyed topics, which keep the newest
// record of each key. Producers and consumer groups are left out, because
// siskinknot uses neither.
//
// Tests can set faults. The store can be down for all callers or for some of
// them, answer slowly, lose answers to appends, apply appends late and drop its
// history. The connections that are open can stop answering while new connections
// work. The store can return to an earlier copy of its contents, which begins a new era.
//
// # Usage
//
//	store := metastore.New(seed)
//	addr, err := store.Listen("127.0.0.1:0")
//	store.SetFault(metastore.Fault{Outage: metastore.Busy})
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

// keyedPrefix is the prefix of the names of keyed topics, which keep the newest
// record of each key.
const keyedPrefix = "keyed."

// Outage is the way in which the store fails calls.
type Outage int

// The outages.
const (
	Up       Outage = iota // no outage
	Busy                   // the store answers with status 503
	Reset                  // the store resets the connection
	NoAnswer               // the store does not answer
)

// Fault describes the faults that the store simulates. Shares are between 0 and 1.
// The zero value has no faults.
type Fault struct {
	// AppliesTo limits Outage and LoseAnswers to the calls from the addresses for which it
	// returns true. They apply to all calls if it is nil.
	AppliesTo func(caller netip.Addr) bool
	// Outage is the way in which calls fail.
	Outage Outage
	// Slow is the delay before each call is handled.
	Slow time.Duration
	// LoseAnswers is the share of appends that take effect but are not
	// answered. Late is the share of these that take effect only after the
	// delay LateBy.
	LoseAnswers, Late float64
	LateBy            time.Duration
}

// applies reports whether f applies to a call from caller.
func (f *Fault) applies(caller netip.Addr) bool { return f.AppliesTo == nil || f.AppliesTo(caller) }

// topic is a topic, which has a single partition.
type topic struct {
	// records holds the retained records; first is the offset of the first of them.
	records [][]byte
	first   uint64
	// newest holds the newest record of each key if the topic is keyed.
	newest map[string]keyedRecord
	// appended is closed and replaced with each append.
	appended chan struct{}
}

// keyedRecord is the newest record of a key.
type keyedRecord struct {
	value  []byte
	offset uint64
}

// clone returns a copy of t that shares no state with it.
func (t *topic) clone() *topic {
	return &topic{records: slices.Clone(t.records), first: t.first, newest: maps.Clone(t.newest), appended: make(chan struct{})}
}

// end returns the offset after the last record.
func (t *topic) end() uint64 { return t.first + uint64(len(t.records)) }

// Store is a simulated metadata store. It is safe for concurrent use.
type Store struct {
	mu     sync.Mutex
	topics map[string]*topic
	fault  Fault
	calls  int
	// lostAppends is the number of appends whose answers were lost.
	lostAppends int
	server      *http.Server
	rng         *rand.Rand
	// era is the number of times that the store has returned to a copy, counted from 1,
	// and saved the copy that Save made.
	era   uint64
	saved map[string]*topic
	// connections is the number of connections that were opened. Calls on the first
	// hungConnections of them are no longer answered.
	connections, hungConnections int
}

// connectionNumberKey is the context key of a connection's number, counted from 1.
type connectionNumberKey struct{}

// New returns an empty store. The seed determines which appends
// Fault.LoseAnswers and Fault.Late apply to.
func New(seed uint64) *Store {
	s := &Store{topics: map[string]*topic{}, rng: rand.New(rand.NewPCG(seed, 2)), era: 1}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /siskinknot/log-append", s.withFaults(s.append))
	mux.HandleFunc("GET /siskinknot/log-read", s.withFaults(s.read))
	mux.HandleFunc("GET /siskinknot/log-newest", s.withFaults(s.newest))
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute, ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.connections++
		return context.WithValue(ctx, connectionNumberKey{}, s.connections)
	}}
	return s
}

// Listen starts to serve the store at addr and returns the address that it listens
// on. It returns an error if it cannot listen.
func (s *Store) Listen(addr string) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return netip.AddrPort{}, err
	}
	go func() { _ = s.server.Serve(l) }()
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

// Close stops serving and closes all connections.
func (s *Store) Close() { _ = s.server.Close() }

// Handler returns the handler of the store's HTTP interface.
func (s *Store) Handler() http.Handler { return s.server.Handler }

// SetFault replaces the faults that the store simulates.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// HangOpenConnections makes the store no longer answer on the connections that
// have been opened so far, without closing them. Calls on these connections
// still take effect.
func (s *Store) HangOpenConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hungConnections = s.connections
}

// isHung reports whether the store no longer answers on r's connection.
func (s *Store) isHung(r *http.Request) bool {
	number, _ := r.Context().Value(connectionNumberKey{}).(int)
	s.mu.Lock()
	defer s.mu.Unlock()
	return number > 0 && number <= s.hungConnections
}

// Calls returns the number of calls that the store has received.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// LostAppends returns the number of appends whose answers were lost.
func (s *Store) LostAppends() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lostAppends
}

// DropHistory drops the retained records of all topics. The newest record of
// each key stays available.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.topics {
		t.first = t.end()
		t.records = nil
	}
}

// Save makes the copy of the contents that Restore returns to.
func (s *Store) Save() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.saved = map[string]*topic{}
	for name, t := range s.topics {
		s.saved[name] = t.clone()
	}
}

// Restore returns to the copy that Save made and begins a new era. What the operator and
// the servers have written since then is written again.
func (s *Store) Restore() { s.restore("keyed.op", "keyed.servers") }

// RestoreAll is Restore, but nothing is written again.
func (s *Store) RestoreAll() { s.restore() }

// restore returns to the copy and begins a new era. The lost records of the topics in
// writtenAgain are written again.
func (s *Store) restore(writtenAgain ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := s.topics
	s.topics = map[string]*topic{}
	for name, t := range s.saved {
		s.topics[name] = t.clone()
	}
	for _, name := range writtenAgain {
		if t := lost[name]; t != nil {
			known := s.topicOf(name).end()
			s.addRecords(name, t.records[max(known, t.first)-t.first:])
		}
	}
	for _, t := range lost {
		close(t.appended) // reads that wait look at the copy
	}
	s.era++
}

// Put appends a record with the given key and value to the keyed topic name. An
// empty value deletes the key.
func (s *Store) Put(name, key string, value []byte) {
	body := append([]byte{byte(len(key))}, key...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addRecords(name, [][]byte{append(body, value...)})
}

// topicOf returns the topic name, which it creates if necessary. The caller holds
// the mutex.
func (s *Store) topicOf(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]keyedRecord{}, appended: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// addRecords appends records to the topic name. A record of a keyed topic consists
// of the length of the key in one byte, the key and the value. The caller holds the
// mutex.
func (s *Store) addRecords(name string, records [][]byte) {
	t := s.topicOf(name)
	for _, r := range records {
		if strings.HasPrefix(name, keyedPrefix) && len(r) > 0 && int(r[0]) < len(r) {
			key, value := string(r[1:1+r[0]]), r[1+int(r[0]):]
			if len(value) == 0 {
				delete(t.newest, key)
			} else {
				t.newest[key] = keyedRecord{value: value, offset: t.end()}
			}
		}
		t.records = append(t.records, r)
	}
	close(t.appended)
	t.appended = make(chan struct{})
}

// withFaults returns a handler that applies the current faults to each call.
func (s *Store) withFaults(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls++
		f := s.fault
		w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
		s.mu.Unlock()
		if f.Outage != Up && f.applies(callerOf(r)) {
			failCall(w, r, f.Outage)
			return
		}
		time.Sleep(f.Slow)
		answer := httptest.NewRecorder()
		handler(answer, r)
		if s.isHung(r) {
			failCall(w, r, NoAnswer)
		}
		maps.Copy(w.Header(), answer.Header())
		s.mu.Lock()
		w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
		s.mu.Unlock()
		w.WriteHeader(answer.Code)
		_, _ = w.Write(answer.Body.Bytes())
	}
}

// callerOf returns the address of the caller of r.
func callerOf(r *http.Request) netip.Addr {
	caller, _ := netip.ParseAddrPort(r.RemoteAddr)
	return caller.Addr()
}

// failCall fails a call in the way that outage describes.
func failCall(w http.ResponseWriter, r *http.Request, outage Outage) {
	switch outage {
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
	case NoAnswer:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	default:
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}
}

// append handles log-append calls.
func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	records, ok := splitRecords(data)
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	f := s.fault
	loseAnswer, delayAppend := s.rng.Float64() < f.LoseAnswers, s.rng.Float64() < f.Late
	loseAnswer = loseAnswer && f.applies(callerOf(r))
	if loseAnswer {
		s.lostAppends++
	}
	s.mu.Unlock()
	name, at := r.URL.Query().Get("topic"), r.URL.Query().Get("at")
	if loseAnswer && delayAppend {
		time.AfterFunc(f.LateBy, func() { s.appendAt(name, at, records) })
		failCall(w, r, NoAnswer)
	}
	status, reply := s.appendAt(name, at, records)
	if loseAnswer {
		failCall(w, r, NoAnswer)
	}
	writeJSON(w, status, reply)
}

// appendAt appends records to the topic name if the offset after its last record
// is at, or unconditionally if at is empty. It returns the status and the body of
// the answer.
func (s *Store) appendAt(name, at string, records [][]byte) (int, map[string]uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topicOf(name)
	if at != "" && at != strconv.FormatUint(t.end(), 10) {
		return http.StatusPreconditionFailed, map[string]uint64{"end": t.end()}
	}
	offset := t.end()
	s.addRecords(name, records)
	return http.StatusOK, map[string]uint64{"offset": offset, "end": t.end()}
}

// splitRecords splits a body into records, each of which follows its length in four
// bytes, big endian. It returns false if the body is malformed.
func splitRecords(data []byte) ([][]byte, bool) {
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

// encodeRecords returns the records as they are sent: at least the first one, and no more
// than fit into maxKB.
func encodeRecords(records [][]byte, maxKB int) []byte {
	var body []byte
	for _, rec := range records {
		if len(body) > 0 && len(body)+len(rec) > maxKB<<10 {
			break
		}
		body = binary.BigEndian.AppendUint32(body, uint32(len(rec)))
		body = append(body, rec...)
	}
	return body
}

// defaultMaxKB limits the records of a response to log-read, in KiB, unless the call sets
// max_kb.
const defaultMaxKB = 1024

// read handles log-read calls. If there is no record from the given offset on, it
// waits up to wait_ms for one. It returns at least one record, and no more than fit into
// max_kb.
func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseUint(q.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	maxKB, err := strconv.Atoi(q.Get("max_kb"))
	if err != nil {
		maxKB = defaultMaxKB
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topicOf(q.Get("topic"))
		first, end, appended := t.first, t.end(), t.appended
		var body []byte
		if from >= first && from < end {
			body = encodeRecords(t.records[from-first:], maxKB)
		}
		s.mu.Unlock()
		if from < first || from > end {
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
		case <-appended:
		case <-deadline:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// newest handles log-newest calls: it answers with the newest record of each key,
// ordered by key, in pages of up to 500 keys.
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
	for key, record := range t.newest {
		if key > r.URL.Query().Get("after") {
			reply.Items = append(reply.Items, item{key, base64.StdEncoding.EncodeToString(record.value), record.offset})
		}
	}
	s.mu.Unlock()
	slices.SortFunc(reply.Items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	if len(reply.Items) > pageSize {
		reply.Items, reply.More = reply.Items[:pageSize], true
	}
	writeJSON(w, http.StatusOK, reply)
}

// writeJSON writes an answer with the given status and v as its JSON body.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
