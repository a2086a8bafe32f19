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

// Names of the files in the shared directory.
const (
	recordFile = "runs.jsonl" // the shared record, one JSON event per line
	namesDir   = "names"      // a file for each registered name
)

// openRecord opens the shared record in dir for appending. It creates the record
// and the directory of names if they do not exist.
func openRecord(dir string) (*os.File, error) {
	if err := os.MkdirAll(filepath.Join(dir, namesDir), 0o700); err != nil {
		return nil, err
	}
	return os.OpenFile(filepath.Join(dir, recordFile), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
}

// event is a line of the shared record: the start or the end of a run.
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
	// ExpiresMs is the end of the grant on CLOCK_BOOTTIME, in milliseconds.
	ExpiresMs int64 `json:"expires_ms,omitempty"`
}

// runCounter numbers the runs of all targets in this process.
var runCounter struct {
	sync.Mutex
	n int
}

// recordStart records that a run of r starts and returns the name of the run.
func (s *Server) recordStart(r *http.Request) string {
	runCounter.Lock()
	runCounter.n++
	run := s.cfg.Name + "/" + strconv.Itoa(os.Getpid()) + "/" + strconv.Itoa(runCounter.n)
	runCounter.Unlock()
	token, _ := strconv.ParseUint(r.Header.Get(target.HeaderToken), 10, 64)
	expires, _ := strconv.ParseInt(r.Header.Get(target.HeaderExpires), 10, 64)
	s.appendEvent(event{
		Run:       run,
		AtNs:      boottime.Now().UnixNano(),
		Server:    s.cfg.Name,
		ID:        r.Header.Get(target.HeaderRequestID),
		Caller:    r.Header.Get(target.HeaderCaller),
		Method:    r.Method,
		Path:      r.URL.Path,
		Class:     classOf(r),
		Token:     token,
		Holder:    r.Header.Get(target.HeaderHolder),
		ExpiresMs: expires,
	})
	return run
}

// recordEnd records that a run has ended.
func (s *Server) recordEnd(run string) {
	s.appendEvent(event{Run: run, End: true, AtNs: boottime.Now().UnixNano()})
}

// appendEvent appends e to the shared record, if there is one, in a single write.
func (s *Server) appendEvent(e event) {
	if s.record == nil {
		return
	}
	line, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	_, _ = s.record.Write(append(line, '\n'))
}

// nameLock returns the mutex that guards the name key, which need not exist.
func (s *Server) nameLock(key string) *sync.Mutex {
	s.mu.Lock()
	defer s.mu.Unlock()
	lock := s.locks[key]
	if lock == nil {
		lock = &sync.Mutex{}
		s.locks[key] = lock
	}
	return lock
}

// loadName returns the state of the name key. If the token of r differs from the
// token of the cached state, loadName reads the state from the shared directory
// again.
func (s *Server) loadName(key string, r *http.Request) cachedName {
	token := r.Header.Get(target.HeaderToken)
	s.mu.Lock()
	entry, ok := s.names[key]
	s.mu.Unlock()
	if ok && entry.token == token {
		return entry
	}
	entry = cachedName{token: token}
	if s.cfg.SharedDir != "" {
		if data, err := os.ReadFile(s.namePath(key)); err == nil {
			entry.exists = true
			entry.value = string(data)
		}
	} else if ok {
		entry.exists, entry.value = s.names[key].exists, s.names[key].value
	}
	s.mu.Lock()
	s.names[key] = entry
	s.mu.Unlock()
	return entry
}

// storeName writes the state of the name key to the cache and, if there is one, to
// the shared directory.
func (s *Server) storeName(key string, name cachedName) {
	s.mu.Lock()
	s.names[key] = name
	s.mu.Unlock()
	if s.cfg.SharedDir == "" {
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

// namePath returns the path of the file of the name key.
func (s *Server) namePath(key string) string {
	return filepath.Join(s.cfg.SharedDir, namesDir, hex.EncodeToString([]byte(key)))
}

// Run is one execution of a request by a target, as read from the shared record.
type Run struct {
	// Server is the name of the target.
	Server string
	ID     string
	Caller string
	Method string
	// Key is the first segment of the request's path.
	Key   string
	Class string
	// Token and Holder identify the grant that the request came with, and Expires is
	// its end on CLOCK_BOOTTIME. They are zero if it came with none.
	Token   uint64
	Holder  string
	Expires time.Time
	Begin   time.Time
	// End is zero if the record has no end of the run, because the target was
	// killed during it.
	End time.Time
}

// Runs reads the shared record in dir and returns its runs, ordered by start time.
// It skips lines that are not valid JSON. It returns an error if the record cannot
// be opened or read.
func Runs(dir string) ([]Run, error) {
	file, err := os.Open(filepath.Join(dir, recordFile))
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
		if e.ExpiresMs != 0 {
			run.Expires = time.UnixMilli(e.ExpiresMs)
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

// Audit is the result of checking the shared record for violations of the
// guarantees.
type Audit struct {
	// Runs is the number of runs.
	Runs int
	// DuplicateRuns counts the runs of non-idempotent requests beyond the first
	// run of each request.
	DuplicateRuns int
	// MaxOwners is the highest number of servers that ran requests for the same
	// key at the same time.
	MaxOwners int
	// Stale counts the runs whose token is lower than that of a run of the same key
	// that started earlier.
	Stale int
	// Violations describes the requests and keys for which a violation was found.
	Violations []string
}

// Inspect checks runs, which must be ordered by start time, for violations of the
// guarantees. POST requests, which callers send with the class "write", are taken
// to be non-idempotent. Owners and tokens are checked only for runs of requests
// that came with a grant.
func Inspect(runs []Run) Audit {
	audit := Audit{Runs: len(runs)}
	seen := map[string]bool{}
	byKey := map[string][]Run{}
	for _, run := range runs {
		id := run.Caller + "/" + run.ID
		if run.Method == http.MethodPost && seen[id] {
			audit.DuplicateRuns++
			audit.Violations = append(audit.Violations, "doubled "+id)
		}
		seen[id] = seen[id] || run.Method == http.MethodPost
		if run.Holder != "" {
			byKey[run.Key] = append(byKey[run.Key], run)
		}
	}
	for key, list := range byKey {
		owners, stale := findConflicts(list)
		if owners > 1 {
			audit.Violations = append(audit.Violations, "owners of "+key)
		}
		for _, s := range stale {
			audit.Violations = append(audit.Violations, s.describe(key))
		}
		audit.MaxOwners = max(audit.MaxOwners, owners)
		audit.Stale += len(stale)
	}
	return audit
}

// staleRun is a run whose token is lower than that of newer, a run of the same key
// that started earlier.
type staleRun struct{ run, newer Run }

// describe returns a description of both runs: the server, request, token and
// holder of each, and the time between their starts.
func (s staleRun) describe(key string) string {
	return fmt.Sprintf("owners of %s: %s ran %s under token %d of %s %v after %s began %s under token %d of %s",
		key, s.run.Server, s.run.ID, s.run.Token, s.run.Holder, s.run.Begin.Sub(s.newer.Begin),
		s.newer.Server, s.newer.ID, s.newer.Token, s.newer.Holder)
}

// findConflicts returns the highest number of servers that ran requests of the
// same key at the same time, and the runs whose token is lower than that of an
// earlier run. All runs must be of one key and ordered by start time. A run without
// a recorded end counts as running only at its start.
func findConflicts(runs []Run) (maxOwners int, stale []staleRun) {
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
		maxOwners = max(maxOwners, len(servers))
	}
	return maxOwners, stale
}
