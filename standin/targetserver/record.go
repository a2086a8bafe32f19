package targetserver

import (
	"bufio"
	"cmp"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"siskinknot/io/boottime"
	"siskinknot/io/target"
)

// Names within the shared directory.
const (
	recordName = "runs.jsonl"
	namesDir   = "names"
)

// openRecord opens the shared record for appending.
func openRecord(dir string) (*os.File, error) {
	if err := os.MkdirAll(filepath.Join(dir, namesDir), 0o700); err != nil {
		return nil, err
	}
	return os.OpenFile(filepath.Join(dir, recordName), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
}

// event is a line of the shared record: the begin or the end of a run.
type event struct {
	Run    string `json:"run"`
	End    bool   `json:"end,omitempty"`
	AtNs   int64  `json:"at_ns"`
	Server string `json:"server,omitempty"`
	ID     string `json:"id,omitempty"`
	Caller string `json:"caller,omitempty"`
	Method string `json:"method,omitempty"`
	Path   string `json:"path,omitempty"`
	Class  string `json:"class,omitempty"`
	Token  uint64 `json:"token,omitempty"`
	Holder string `json:"holder,omitempty"`
}

var runCounter struct {
	sync.Mutex
	n int
}

// begin writes the begin of a run and returns its name.
func (s *Server) begin(r *http.Request) string {
	runCounter.Lock()
	runCounter.n++
	run := s.cfg.Name + "/" + strconv.Itoa(os.Getpid()) + "/" + strconv.Itoa(runCounter.n)
	runCounter.Unlock()
	token, _ := strconv.ParseUint(r.Header.Get(target.HeaderToken), 10, 64)
	s.write(event{
		Run:    run,
		AtNs:   boottime.Now().UnixNano(),
		Server: s.cfg.Name,
		ID:     r.Header.Get(target.HeaderRequestID),
		Caller: r.Header.Get(target.HeaderCaller),
		Method: r.Method,
		Path:   r.URL.Path,
		Class:  classOf(r),
		Token:  token,
		Holder: r.Header.Get(target.HeaderHolder),
	})
	return run
}

// end writes the end of a run.
func (s *Server) end(run string) {
	s.write(event{Run: run, End: true, AtNs: boottime.Now().UnixNano()})
}

// write appends e to the shared record in one write.
func (s *Server) write(e event) {
	if s.record == nil {
		return
	}
	line, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	_, _ = s.record.Write(append(line, '\n'))
}

// lock returns the lock of a name.
func (s *Server) lock(key string) *sync.Mutex {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.locks[key]
	if l == nil {
		l = &sync.Mutex{}
		s.locks[key] = l
	}
	return l
}

// name returns what is known of a name under the token of r.
func (s *Server) name(key string, r *http.Request) cached {
	token := r.Header.Get(target.HeaderToken)
	s.mu.Lock()
	known, ok := s.names[key]
	s.mu.Unlock()
	if ok && known.token == token {
		return known
	}
	known = cached{token: token}
	if s.cfg.Shared != "" {
		if data, err := os.ReadFile(s.namePath(key)); err == nil {
			known.exists = true
			known.value = string(data)
		}
	} else if ok {
		known.exists, known.value = s.names[key].exists, s.names[key].value
	}
	s.mu.Lock()
	s.names[key] = known
	s.mu.Unlock()
	return known
}

// setName stores a name.
func (s *Server) setName(key string, name cached) {
	s.mu.Lock()
	s.names[key] = name
	s.mu.Unlock()
	if s.cfg.Shared == "" {
		return
	}
	tmp := s.namePath(key) + "." + s.cfg.Name
	if err := os.WriteFile(tmp, []byte(name.value), 0o600); err != nil {
		panic(err)
	}
	if err := os.Rename(tmp, s.namePath(key)); err != nil {
		panic(err)
	}
}

func (s *Server) namePath(key string) string {
	return filepath.Join(s.cfg.Shared, namesDir, hex.EncodeToString([]byte(key)))
}

// Run is a run as the shared record shows it.
type Run struct {
	Server string
	ID     string
	Caller string
	Method string
	Key    string
	Class  string
	Token  uint64
	Holder string
	Begin  time.Time
	// End is zero if the record has none: the target was killed.
	End time.Time
}

// Runs reads the shared record, ordered by begin.
func Runs(dir string) ([]Run, error) {
	file, err := os.Open(filepath.Join(dir, recordName))
	if err != nil {
		return nil, err
	}
	defer file.Close()
	byName := map[string]*Run{}
	var runs []*Run
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		var e event
		if json.Unmarshal(scanner.Bytes(), &e) != nil {
			continue
		}
		if e.End {
			if run := byName[e.Run]; run != nil {
				run.End = time.Unix(0, e.AtNs)
			}
			continue
		}
		key, _, _ := strings.Cut(strings.TrimPrefix(e.Path, "/"), "/")
		run := &Run{
			Server: e.Server, ID: e.ID, Caller: e.Caller, Method: e.Method, Key: key,
			Class: e.Class, Token: e.Token, Holder: e.Holder, Begin: time.Unix(0, e.AtNs),
		}
		byName[e.Run] = run
		runs = append(runs, run)
	}
	slices.SortStableFunc(runs, func(a, b *Run) int { return cmp.Compare(a.Begin.UnixNano(), b.Begin.UnixNano()) })
	list := make([]Run, len(runs))
	for i, run := range runs {
		list[i] = *run
	}
	return list, scanner.Err()
}

// Audit is what the shared record shows of the promises.
type Audit struct {
	Runs int
	// Doubled counts the runs of a non-idempotent request beyond its first.
	Doubled int
	// MostOwners is the most servers that ran requests for one key at a time.
	MostOwners int
	// Stale counts the runs that began under an older token than a run of the
	// same key that had begun before.
	Stale int
	// Faulty names some of the keys and requests concerned.
	Faulty []string
}

// Inspect looks for broken promises in runs, which are ordered by begin.
// Requests of class "write" are taken to be non-idempotent.
func Inspect(runs []Run) Audit {
	audit := Audit{Runs: len(runs)}
	seen := map[string]bool{}
	byKey := map[string][]Run{}
	for _, run := range runs {
		id := run.Caller + "/" + run.ID
		if run.Method == http.MethodPost && seen[id] {
			audit.Doubled++
			audit.Faulty = append(audit.Faulty, "doubled "+id)
		}
		seen[id] = seen[id] || run.Method == http.MethodPost
		if run.Holder != "" {
			byKey[run.Key] = append(byKey[run.Key], run)
		}
	}
	for key, list := range byKey {
		owners, stale := owners(list)
		if owners > 1 {
			audit.Faulty = append(audit.Faulty, "owners of "+key)
		}
		for _, s := range stale {
			audit.Faulty = append(audit.Faulty, s.describe(key))
		}
		audit.MostOwners = max(audit.MostOwners, owners)
		audit.Stale += len(stale)
	}
	return audit
}

// staleRun is a run under an older token than one of the same key that had begun
// before it.
type staleRun struct{ run, newer Run }

// describe says which runs they are: whether one server ran both, and how close.
func (s staleRun) describe(key string) string {
	return fmt.Sprintf("owners of %s: %s ran %s under token %d of %s %v after %s began %s under token %d of %s",
		key, s.run.Server, s.run.ID, s.run.Token, s.run.Holder, s.run.Begin.Sub(s.newer.Begin),
		s.newer.Server, s.newer.ID, s.newer.Token, s.newer.Holder)
}

// owners returns the most servers that ran requests of one key at a time, and the
// runs under an older token than an earlier run.
func owners(runs []Run) (most int, stale []staleRun) {
	var newest Run
	for i, run := range runs {
		if run.Token < newest.Token {
			stale = append(stale, staleRun{run, newest})
		} else {
			newest = run
		}
		servers := map[string]bool{run.Server: true}
		for _, earlier := range runs[:i] {
			if earlier.End.After(run.Begin) {
				servers[earlier.Server] = true
			}
		}
		most = max(most, len(servers))
	}
	return most, stale
}
