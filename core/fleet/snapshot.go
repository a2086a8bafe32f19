package fleet

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"sort"

	"siskinknot/core/record"
	"siskinknot/core/settings"
)

// stateJSON is the JSON form of a State.
type stateJSON struct {
	Next       uint64               `json:"next"`
	SnapshotAt uint64               `json:"snapshot_at"`
	Members    []memberJSON         `json:"members"`
	Gone       []record.Incarnation `json:"gone"`
	Services   []serviceJSON        `json:"services"`
	Settings   settings.Snapshot    `json:"settings"`
}

// memberJSON is the JSON form of a Member.
type memberJSON struct {
	ID         record.Incarnation    `json:"id"`
	Server     string                `json:"server"`
	Service    string                `json:"service"`
	Region     string                `json:"region,omitempty"`
	Zone       string                `json:"availability_zone"`
	Daemon     netip.AddrPort        `json:"daemon_address"`
	Caller     netip.AddrPort        `json:"caller_address"`
	BootID     string                `json:"boot_id"`
	BlindLimit record.Millis         `json:"blind_limit_ms"`
	Since      uint64                `json:"since"`
	Epoch      uint64                `json:"epoch"`
	Pair       [2]record.Incarnation `json:"pair"`
	PairSince  uint64                `json:"pair_since"`
	Releases   uint64                `json:"releases"`
	Leaving    bool                  `json:"leaving,omitempty"`
	Succeeded  bool                  `json:"succeeded,omitempty"`
	Accused    uint64                `json:"accused,omitempty"`
}

// serviceJSON is the JSON form of a Service.
type serviceJSON struct {
	Name    string             `json:"name"`
	Slots   int                `json:"slots"`
	Planner record.Incarnation `json:"planner"`
	Term    uint64             `json:"term"`
	// Groups are the slots that have an owner, one group for each combination of
	// owner, token and cause.
	Groups []slotGroupJSON `json:"groups"`
	Carved []carvedKeyJSON `json:"carved"`
}

// slotGroupJSON is the JSON form of the slots with the same Owner.
type slotGroupJSON struct {
	ownerJSON
	// Steps are the slots in ascending order. Each is given as its difference
	// from the one before, the first as its difference from 0.
	Steps []int `json:"steps"`
}

// carvedKeyJSON is the JSON form of a carved key and its owner.
type carvedKeyJSON struct {
	Key string `json:"key"`
	ownerJSON
}

// ownerJSON is the JSON form of an Owner.
type ownerJSON struct {
	// Owner is an index into stateJSON.Members, or -1 for no owner.
	Owner int    `json:"owner"`
	Token uint64 `json:"token"`
	Cause Cause  `json:"cause"`
}

// maxStateBytes is the maximum size in bytes of the JSON form of a state that
// Decode reads, after decompression.
const maxStateBytes = 64 << 20

// Encode returns the state as JSON compressed with gzip. It is stored in Snapshot
// records and sent to daemons that start. Encode returns an error if the state
// cannot be marshaled.
func (s *State) Encode() ([]byte, error) {
	form := stateJSON{
		Next:       s.nextOffset,
		SnapshotAt: s.snapshotOffset,
		Gone:       s.revokedOrder,
		Settings:   s.settings.Snapshot(),
	}
	memberIndex := map[record.Incarnation]int{"": -1}
	for i, m := range s.Members() {
		memberIndex[m.ID] = i
		form.Members = append(form.Members, m.jsonForm())
	}
	for _, name := range s.serviceNames() {
		form.Services = append(form.Services, s.services[name].jsonForm(memberIndex))
	}
	var out bytes.Buffer
	zipWriter := gzip.NewWriter(&out)
	if err := json.NewEncoder(zipWriter).Encode(form); err != nil {
		return nil, fmt.Errorf("encode state at offset %d: %w", s.nextOffset, err)
	}
	if err := zipWriter.Close(); err != nil {
		return nil, fmt.Errorf("encode state at offset %d: %w", s.nextOffset, err)
	}
	return out.Bytes(), nil
}

// serviceNames returns the names of the services divided by key, in ascending
// order.
func (s *State) serviceNames() []string {
	names := make([]string, 0, len(s.services))
	for name := range s.services {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// jsonForm returns the JSON form of m.
func (m *Member) jsonForm() memberJSON {
	return memberJSON{
		ID: m.ID, Server: m.Server, Service: m.Service, Region: m.Region, Zone: m.Zone,
		Daemon: m.DaemonAddress, Caller: m.CallerAddress, BootID: m.BootID,
		BlindLimit: record.Millis(m.BlindLimit), Since: m.AnnounceOffset,
		Epoch: m.Epoch, Pair: m.Pair, PairSince: m.PairOffset,
		Releases: m.Releases, Leaving: m.Leaving, Succeeded: m.Succeeded,
		Accused: m.Accused,
	}
}

// member returns the Member that form represents.
func (form memberJSON) member() *Member {
	return &Member{
		ID: form.ID, Server: form.Server, Service: form.Service, Region: form.Region, Zone: form.Zone,
		DaemonAddress: form.Daemon, CallerAddress: form.Caller, BootID: form.BootID,
		BlindLimit: form.BlindLimit.Duration(), AnnounceOffset: form.Since,
		Epoch: form.Epoch, Pair: form.Pair, PairOffset: form.PairSince,
		Releases: form.Releases, Leaving: form.Leaving, Succeeded: form.Succeeded,
		Accused: form.Accused,
	}
}

// jsonForm returns the JSON form of s. memberIndex maps each member to its index in
// stateJSON.Members, and the empty incarnation to -1.
func (s *Service) jsonForm(memberIndex map[record.Incarnation]int) serviceJSON {
	form := serviceJSON{Name: s.Name, Slots: len(s.slots), Planner: s.Planner, Term: s.Term}
	groupIndex := map[Owner]int{}
	lastSlot := map[Owner]int{}
	for slot, owner := range s.slots {
		if owner.ID == "" {
			continue
		}
		n, ok := groupIndex[owner]
		if !ok {
			n = len(form.Groups)
			groupIndex[owner] = n
			form.Groups = append(form.Groups, slotGroupJSON{ownerJSON: owner.jsonForm(memberIndex)})
		}
		form.Groups[n].Steps = append(form.Groups[n].Steps, slot-lastSlot[owner])
		lastSlot[owner] = slot
	}
	for _, key := range s.CarvedKeys() {
		form.Carved = append(form.Carved, carvedKeyJSON{Key: key, ownerJSON: s.carved[key].jsonForm(memberIndex)})
	}
	return form
}

// jsonForm returns the JSON form of o. For memberIndex see Service.jsonForm.
func (o Owner) jsonForm(memberIndex map[record.Incarnation]int) ownerJSON {
	return ownerJSON{Owner: memberIndex[o.ID], Token: o.Token, Cause: o.Cause}
}

// Decode returns the state that Encode encoded into data. It returns an error if
// data is not compressed JSON, if the JSON in it is longer than 64 MiB
// (maxStateBytes), if the settings in it are not valid, or if it refers to services,
// slots or members that do not exist.
func Decode(data []byte) (*State, error) {
	zipReader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("decode state: %w", err)
	}
	var form stateJSON
	if err := json.NewDecoder(io.LimitReader(zipReader, maxStateBytes)).Decode(&form); err != nil {
		return nil, fmt.Errorf("decode state: %w", err)
	}
	tree, err := settings.FromSnapshot(form.Settings)
	if err != nil {
		return nil, fmt.Errorf("decode state: %w", err)
	}
	s := New()
	s.nextOffset = form.Next
	s.snapshotOffset = form.SnapshotAt
	s.settings = tree
	s.revokedOrder = form.Gone
	for _, id := range form.Gone {
		s.revoked[id] = true
	}
	for _, m := range form.Members {
		s.addMember(m.member())
	}
	for _, svc := range form.Services {
		if err := s.loadService(svc, form.Members); err != nil {
			return nil, fmt.Errorf("decode state: %w", err)
		}
	}
	return s, nil
}

// loadService adds the service that form represents to s. members are the members
// that the owners in form refer to.
func (s *State) loadService(form serviceJSON, members []memberJSON) error {
	configured, ok := s.settings.Service(form.Name)
	if !ok || configured.Slots != form.Slots {
		return fmt.Errorf("settings have no service %q with %d slots", form.Name, form.Slots)
	}
	svc := newService(form.Name, form.Slots)
	svc.Planner = form.Planner
	svc.Term = form.Term
	for _, group := range form.Groups {
		owner, err := group.owner(members)
		if err != nil {
			return fmt.Errorf("service %q: %w", form.Name, err)
		}
		slot := 0
		for _, step := range group.Steps {
			slot += step
			if step < 0 || slot >= form.Slots {
				return fmt.Errorf("service %q: step %d to slot %d is negative or beyond the %d slots", form.Name, step, slot, form.Slots)
			}
			svc.setSlot(slot, owner)
		}
	}
	svc.ownerChanges = 0
	for _, carvedKey := range form.Carved {
		owner, err := carvedKey.owner(members)
		if err != nil {
			return fmt.Errorf("service %q: key %q: %w", form.Name, carvedKey.Key, err)
		}
		svc.carved[carvedKey.Key] = owner
	}
	s.services[form.Name] = svc
	return nil
}

// owner returns the Owner that form represents.
func (form ownerJSON) owner(members []memberJSON) (Owner, error) {
	if form.Owner < -1 || form.Owner >= len(members) {
		return Owner{}, fmt.Errorf("owner index %d is outside the %d members", form.Owner, len(members))
	}
	owner := Owner{Token: form.Token, Cause: form.Cause}
	if form.Owner >= 0 {
		owner.ID = members[form.Owner].ID
	}
	return owner, nil
}
