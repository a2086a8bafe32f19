package member

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"siskinknot/core/fleet"
	"siskinknot/core/record"
	"siskinknot/core/settings"
	"siskinknot/io/boottime"
	"siskinknot/io/peer/peerpb"
)

// FleetStatus is the status of the fleet as this daemon knows it.
type FleetStatus struct {
	Incarnation record.Incarnation `json:"incarnation"`
	Holds       bool               `json:"holds"`
	Target      string             `json:"target"`
	// HeirOf are the members whose units this daemon serves as heir while the
	// log is down.
	HeirOf []record.Incarnation `json:"heir_of"`
	// NextOffset is the offset of the next record that this daemon will apply.
	NextOffset uint64 `json:"next_offset"`
	// LogOK is whether the log answered the last read.
	LogOK bool `json:"log_ok"`
	// HeadReadAgoMs is how long ago, in milliseconds, the latest read that
	// reached the log's head was sent.
	HeadReadAgoMs   int64  `json:"head_read_ago_ms"`
	SettingsVersion uint64 `json:"settings_version"`
	// SnapshotOffset is the offset of the log's latest snapshot that was applied.
	SnapshotOffset uint64          `json:"snapshot_at"`
	Members        []Status        `json:"members"`
	Services       []ServiceStatus `json:"services"`
}

// Status is the status of a member as this daemon knows it, with the member's
// own answer.
type Status struct {
	ID             record.Incarnation    `json:"id"`
	Service        string                `json:"service"`
	Zone           string                `json:"availability_zone"`
	DaemonAddress  netip.AddrPort        `json:"daemon_address"`
	CallerAddress  netip.AddrPort        `json:"caller_address"`
	AnnounceOffset uint64                `json:"since"`
	Epoch          uint64                `json:"epoch"`
	Guardians      [2]record.Incarnation `json:"guardians"`
	Slots          int                   `json:"slots"`
	Leaving        bool                  `json:"leaving"`
	Succeeded      bool                  `json:"succeeded"`
	Accused        uint64                `json:"accused,omitempty"`
	// Reached is whether the member answered this daemon's probe. The fields
	// below are its answer.
	Reached         bool   `json:"reached"`
	Holds           bool   `json:"holds"`
	SettingsVersion uint64 `json:"settings_version"`
	NextOffset      uint64 `json:"next_offset"`
}

// ServiceStatus is the status of a service that is divided by key.
type ServiceStatus struct {
	Name  string `json:"name"`
	Slots int    `json:"slots"`
	// Unowned is the number of slots that have no owner.
	Unowned    int      `json:"free"`
	CarvedKeys []string `json:"carved_keys"`
	// OwnerChanges is how often the owner of a unit changed since this daemon
	// loaded the fleet's state; see fleet.Service.OwnerChanges.
	OwnerChanges int                `json:"changes"`
	Planner      record.Incarnation `json:"planner"`
	Term         uint64             `json:"term"`
}

// Status returns the status of the fleet. It asks each member for its own
// status, until ctx ends.
func (m *Member) Status(ctx context.Context) FleetStatus {
	st := m.localStatus(boottime.Now())
	const parallel = 16
	semaphore := make(chan struct{}, parallel)
	var wg sync.WaitGroup
	for i := range st.Members {
		wg.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			m.probe(ctx, &st.Members[i])
		})
	}
	wg.Wait()
	return st
}

// probe asks the member of ms for its own status and adds the answer to ms.
func (m *Member) probe(ctx context.Context, ms *Status) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	call := &peerpb.Call{Kind: &peerpb.Call_Probe{Probe: &peerpb.Probe{}}}
	reply, err := m.pool.Call(ctx, ms.DaemonAddress, call)
	if err != nil {
		return
	}
	ms.Reached = true
	ms.Holds = reply.Holds
	ms.SettingsVersion = reply.SettingsVersion
	ms.NextOffset = reply.NextOffset
}

// localStatus returns the status of the fleet that this daemon knows without
// asking other members.
func (m *Member) localStatus(now time.Time) FleetStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	st := FleetStatus{
		Incarnation:     m.id,
		Holds:           m.leases.Holds(now),
		Target:          m.target.String(),
		HeirOf:          m.leases.HeirFor(),
		NextOffset:      m.state.NextOffset(),
		LogOK:           m.logOK,
		HeadReadAgoMs:   now.Sub(m.leases.HeadReadAt()).Milliseconds(),
		SettingsVersion: m.state.Settings().Version(),
		SnapshotOffset:  m.state.SnapshotOffset(),
	}
	for _, mem := range m.state.Members() {
		st.Members = append(st.Members, m.memberStatus(mem))
	}
	for _, s := range m.state.Settings().Services() {
		if svc := m.state.Service(s.Name); svc != nil {
			st.Services = append(st.Services, serviceStatus(svc))
		}
	}
	return st
}

// memberStatus returns the status of mem as the log states it. The caller holds
// the mutex.
func (m *Member) memberStatus(mem *fleet.Member) Status {
	ms := Status{
		ID: mem.ID, Service: mem.Service, Zone: mem.Zone, DaemonAddress: mem.DaemonAddress,
		CallerAddress: mem.CallerAddress, AnnounceOffset: mem.AnnounceOffset, Epoch: mem.Epoch, Guardians: mem.Pair,
		Leaving: mem.Leaving, Succeeded: mem.Succeeded, Accused: mem.Accused,
	}
	if svc := m.state.Service(mem.Service); svc != nil {
		ms.Slots = svc.NumSlotsOf(mem.ID)
	}
	return ms
}

// serviceStatus returns the status of svc.
func serviceStatus(svc *fleet.Service) ServiceStatus {
	st := ServiceStatus{
		Name: svc.Name, Slots: svc.NumSlots(), CarvedKeys: svc.CarvedKeys(),
		Planner: svc.Planner, Term: svc.Term, OwnerChanges: svc.OwnerChanges(),
	}
	for slot := range svc.NumSlots() {
		if svc.SlotOwner(slot).ID == "" {
			st.Unowned++
		}
	}
	return st
}

// Explanation states which member owns a key and why.
type Explanation struct {
	Service string             `json:"service"`
	Key     string             `json:"key"`
	Slot    int                `json:"slot"`
	Carved  bool               `json:"carved"`
	Owner   record.Incarnation `json:"owner"`
	// OwnerSince is the offset of the record that made Owner the owner, and Cause
	// is the kind of that record.
	OwnerSince uint64      `json:"since"`
	Cause      fleet.Cause `json:"cause"`
	// Leaving is whether the owner is leaving the fleet and transferring its
	// keys.
	Leaving bool `json:"leaving"`
	// NextOffset is the offset of the next record that this daemon will apply.
	NextOffset uint64 `json:"next_offset"`
	// Records are the records in the journal that concern the key or its owner,
	// oldest first.
	Records []JournalEntry `json:"records"`
}

// Explain returns which member owns key of service, and the records that led to
// it. It returns an error if the service is not divided by key.
func (m *Member) Explain(service, key string) (Explanation, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	svc := m.state.Service(service)
	if svc == nil {
		return Explanation{}, fmt.Errorf("service %q is not divided by key", service)
	}
	unit, owner := svc.UnitOf(key)
	ex := Explanation{
		Service: service, Key: key, Slot: unit.Slot, Carved: unit.Key != "",
		Owner: owner.ID, OwnerSince: owner.Token, Cause: owner.Cause, NextOffset: m.state.NextOffset(),
	}
	if mem := m.state.Member(owner.ID); mem != nil {
		ex.Leaving = mem.Leaving
	}
	owners := map[record.Incarnation]bool{}
	if owner.ID != "" {
		owners[owner.ID] = true
	}
	for _, e := range m.journal.entries {
		if revoke, ok := e.rec.(record.Revoke); ok && e.Offset == owner.Token {
			owners[revoke.Of] = true
		}
	}
	ex.Records = m.journal.entriesFor(service, key, unit.Slot, owners)
	return ex, nil
}

// SettingsView is the settings tree or one of its nodes.
type SettingsView struct {
	Version uint64 `json:"version"`
	// Tree is the whole tree. It is set if no node was requested.
	Tree json.RawMessage `json:"tree,omitempty"`
	// Node is the document of the requested node: the values that the node
	// itself sets.
	Node json.RawMessage `json:"node,omitempty"`
	// Effective are the values in effect at the node, each with its source.
	Effective map[string]settings.SourcedValue `json:"effective,omitempty"`
}

// Settings returns the given node, or the whole tree if node is empty. With
// effective it includes the values in effect at the node. It returns an error if
// the node does not exist.
func (m *Member) Settings(node string, effective bool) (SettingsView, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	tree := m.state.Settings()
	view := SettingsView{Version: tree.Version()}
	if node == "" {
		view.Tree = tree.JSON()
		return view, nil
	}
	data, ok := tree.NodeJSON(node)
	if !ok {
		return SettingsView{}, fmt.Errorf("node %q does not exist", node)
	}
	view.Node = data
	if effective {
		sources, err := tree.Explain(node)
		if err != nil {
			return SettingsView{}, err
		}
		view.Effective = sources
	}
	return view, nil
}

// History returns the results of the latest settings edits, oldest first.
func (m *Member) History() []settings.EditResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Settings().History()
}

// EditResult returns the result of the settings edit with the given id, and
// false if it is not known.
func (m *Member) EditResult(id string) (settings.EditResult, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Settings().EditResult(id)
}

// Publish appends a settings edit and returns its result. An edit without a base
// version is based on the version in effect at this daemon. Publish returns an
// error if ctx ends before the result is known. The edit may still be accepted
// then; EditResult returns the result by the edit's id.
func (m *Member) Publish(ctx context.Context, edit settings.Edit) (settings.EditResult, error) {
	m.mu.Lock()
	if edit.Base == 0 {
		edit.Base = m.state.Settings().Version()
	}
	m.mu.Unlock()
	rec := record.Edit{ID: edit.ID, Base: edit.Base, Node: edit.Node, Patch: edit.Patch, Author: edit.Author}
	for {
		appendErr := m.append(rec)
		if result, ok := m.awaitResult(ctx, edit.ID); ok {
			return result, nil
		}
		if ctx.Err() != nil {
			return settings.EditResult{}, eris.Errorf("fate of edit %q is not known yet (last append: %v)", edit.ID, appendErr)
		}
	}
}

// awaitResult waits until the result of an edit is known, at most for
// resendAfter. It returns false if the result is not known by then, or when ctx
// ends.
func (m *Member) awaitResult(ctx context.Context, id string) (settings.EditResult, bool) {
	ctx, cancel := context.WithTimeout(ctx, resendAfter)
	defer cancel()
	for {
		m.mu.Lock()
		result, ok := m.state.Settings().EditResult(id)
		applied := m.applied
		m.mu.Unlock()
		if ok {
			return result, true
		}
		select {
		case <-applied:
		case <-ctx.Done():
			return settings.EditResult{}, false
		}
	}
}
