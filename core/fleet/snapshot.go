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

// stateImage is the JSON form of a State.
type stateImage struct {
	Next       uint64               `json:"next"`
	SnapshotAt uint64               `json:"snapshot_at"`
	Members    []memberImage        `json:"members"`
	Gone       []record.Incarnation `json:"gone"`
	Services   []serviceImage       `json:"services"`
	Settings   settings.Snapshot    `json:"settings"`
}

// memberImage is the JSON form of a Member.
type memberImage struct {
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

// serviceImage is the JSON form of a Service.
type serviceImage struct {
	Name    string             `json:"name"`
	Slots   int                `json:"slots"`
	Planner record.Incarnation `json:"planner"`
	Term    uint64             `json:"term"`
	// Groups are the slots that have an owner, one group for each combination of
	// owner, token and cause.
	Groups []slotGroupImage `json:"groups"`
	Carved []carvedKeyImage `json:"carved"`
}

// slotGroupImage is the JSON form of the slots with the same Owner.
type slotGroupImage struct {
	ownerImage
	// Steps are the slots in ascending order. Each is given as its difference
	// from the one before, the first as its difference from 0.
	Steps []int `json:"steps"`
}

// carvedKeyImage is the JSON form of a carved key and its owner.
type carvedKeyImage struct {
	Key string `json:"key"`
	ownerImage
}

// ownerImage is the JSON form of an Owner.
type ownerImage struct {
	// Owner is an index into stateImage.Members, or -1 for no owner.
	Owner int    `json:"owner"`
	Token uint64 `json:"token"`
	Cause Cause  `json:"cause"`
}

// maxImageBytes is the maximum size in bytes of the JSON form of a state that
// Decode reads, after decompression.
const maxImageBytes = 64 << 20

// Encode returns the state as JSON compressed with gzip. It is stored in Snapshot
// records and sent to daemons that start. Encode returns an error if the state
// cannot be marshaled.
func (s *State) Encode() ([]byte, error) {
	img := stateImage{
		Next:       s.nextOffset,
		SnapshotAt: s.snapshotOffset,
		Gone:       s.revokedOrder,
		Settings:   s.settings.Snapshot(),
	}
	memberIndex := map[record.Incarnation]int{"": -1}
	for i, m := range s.Members() {
		memberIndex[m.ID] = i
		img.Members = append(img.Members, m.image())
	}
	for _, name := range s.serviceNames() {
		img.Services = append(img.Services, s.services[name].image(memberIndex))
	}
	var out bytes.Buffer
	zipWriter := gzip.NewWriter(&out)
	if err := json.NewEncoder(zipWriter).Encode(img); err != nil {
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

// image returns the JSON form of m.
func (m *Member) image() memberImage {
	return memberImage{
		ID: m.ID, Server: m.Server, Service: m.Service, Region: m.Region, Zone: m.Zone,
		Daemon: m.DaemonAddress, Caller: m.CallerAddress, BootID: m.BootID,
		BlindLimit: record.Millis(m.BlindLimit), Since: m.AnnounceOffset,
		Epoch: m.Epoch, Pair: m.Pair, PairSince: m.PairOffset,
		Releases: m.Releases, Leaving: m.Leaving, Succeeded: m.Succeeded,
		Accused: m.Accused,
	}
}

// member returns the Member that img represents.
func (img memberImage) member() *Member {
	return &Member{
		ID: img.ID, Server: img.Server, Service: img.Service, Region: img.Region, Zone: img.Zone,
		DaemonAddress: img.Daemon, CallerAddress: img.Caller, BootID: img.BootID,
		BlindLimit: img.BlindLimit.Duration(), AnnounceOffset: img.Since,
		Epoch: img.Epoch, Pair: img.Pair, PairOffset: img.PairSince,
		Releases: img.Releases, Leaving: img.Leaving, Succeeded: img.Succeeded,
		Accused: img.Accused,
	}
}

// image returns the JSON form of s. memberIndex maps each member to its index in
// stateImage.Members, and the empty incarnation to -1.
func (s *Service) image(memberIndex map[record.Incarnation]int) serviceImage {
	img := serviceImage{Name: s.Name, Slots: len(s.slots), Planner: s.Planner, Term: s.Term}
	groupIndex := map[Owner]int{}
	lastSlot := map[Owner]int{}
	for slot, owner := range s.slots {
		if owner.ID == "" {
			continue
		}
		n, ok := groupIndex[owner]
		if !ok {
			n = len(img.Groups)
			groupIndex[owner] = n
			img.Groups = append(img.Groups, slotGroupImage{ownerImage: owner.image(memberIndex)})
		}
		img.Groups[n].Steps = append(img.Groups[n].Steps, slot-lastSlot[owner])
		lastSlot[owner] = slot
	}
	for _, key := range s.CarvedKeys() {
		img.Carved = append(img.Carved, carvedKeyImage{Key: key, ownerImage: s.carved[key].image(memberIndex)})
	}
	return img
}

// image returns the JSON form of o. For memberIndex see Service.image.
func (o Owner) image(memberIndex map[record.Incarnation]int) ownerImage {
	return ownerImage{Owner: memberIndex[o.ID], Token: o.Token, Cause: o.Cause}
}

// Decode returns the state that Encode encoded into data. It returns an error if
// data is not compressed JSON, or refers to services, slots or members that do not
// exist.
func Decode(data []byte) (*State, error) {
	zipReader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("decode state: %w", err)
	}
	var img stateImage
	if err := json.NewDecoder(io.LimitReader(zipReader, maxImageBytes)).Decode(&img); err != nil {
		return nil, fmt.Errorf("decode state: %w", err)
	}
	tree, err := settings.FromSnapshot(img.Settings)
	if err != nil {
		return nil, fmt.Errorf("decode state: %w", err)
	}
	s := New()
	s.nextOffset = img.Next
	s.snapshotOffset = img.SnapshotAt
	s.settings = tree
	s.revokedOrder = img.Gone
	for _, id := range img.Gone {
		s.revoked[id] = true
	}
	for _, m := range img.Members {
		s.addMember(m.member())
	}
	for _, svc := range img.Services {
		if err := s.loadService(svc, img.Members); err != nil {
			return nil, fmt.Errorf("decode state: %w", err)
		}
	}
	return s, nil
}

// loadService adds the service that img represents to s. members are the members
// that the owners in img refer to.
func (s *State) loadService(img serviceImage, members []memberImage) error {
	configured, ok := s.settings.Service(img.Name)
	if !ok || configured.Slots != img.Slots {
		return fmt.Errorf("settings have no service %q with %d slots", img.Name, img.Slots)
	}
	svc := newService(img.Name, img.Slots)
	svc.Planner = img.Planner
	svc.Term = img.Term
	for _, group := range img.Groups {
		owner, err := group.owner(members)
		if err != nil {
			return fmt.Errorf("service %q: %w", img.Name, err)
		}
		slot := 0
		for _, step := range group.Steps {
			slot += step
			if step < 0 || slot >= img.Slots {
				return fmt.Errorf("service %q: step %d to slot %d is negative or beyond the %d slots", img.Name, step, slot, img.Slots)
			}
			svc.setSlot(slot, owner)
		}
	}
	svc.ownerChanges = 0
	for _, carvedKey := range img.Carved {
		owner, err := carvedKey.owner(members)
		if err != nil {
			return fmt.Errorf("service %q: key %q: %w", img.Name, carvedKey.Key, err)
		}
		svc.carved[carvedKey.Key] = owner
	}
	s.services[img.Name] = svc
	return nil
}

// owner returns the Owner that img represents.
func (img ownerImage) owner(members []memberImage) (Owner, error) {
	if img.Owner < -1 || img.Owner >= len(members) {
		return Owner{}, fmt.Errorf("owner index %d is outside the %d members", img.Owner, len(members))
	}
	owner := Owner{Token: img.Token, Cause: img.Cause}
	if img.Owner >= 0 {
		owner.ID = members[img.Owner].ID
	}
	return owner, nil
}
