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

// image is the JSON form of a State.
type image struct {
	Next       uint64               `json:"next"`
	SnapshotAt uint64               `json:"snapshot_at"`
	Members    []memberImage        `json:"members"`
	Gone       []record.Incarnation `json:"gone"`
	Services   []serviceImage       `json:"services"`
	Settings   settings.Image       `json:"settings"`
}

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

type serviceImage struct {
	Name    string             `json:"name"`
	Slots   int                `json:"slots"`
	Planner record.Incarnation `json:"planner"`
	Term    uint64             `json:"term"`
	// Groups are the owned slots, those with the same owner and token together.
	Groups []groupImage `json:"groups"`
	Carved []ownedImage `json:"carved"`
}

type groupImage struct {
	ownerImage
	// Steps are the slots in order, each as the difference to the one before.
	Steps []int `json:"steps"`
}

type ownedImage struct {
	Key string `json:"key"`
	ownerImage
}

type ownerImage struct {
	// Owner is an index into image.Members, or -1.
	Owner int    `json:"owner"`
	Token uint64 `json:"token"`
	Cause Cause  `json:"cause"`
}

// maxImageBytes bounds the JSON form of a state.
const maxImageBytes = 64 << 20

// Encode returns the state as compressed JSON, for a snapshot or for a starting
// daemon.
func (s *State) Encode() ([]byte, error) {
	img := image{
		Next:       s.next,
		SnapshotAt: s.snapshotAt,
		Gone:       s.goneList,
		Settings:   s.settings.Image(),
	}
	index := map[record.Incarnation]int{"": -1}
	for i, m := range s.Members() {
		index[m.ID] = i
		img.Members = append(img.Members, m.image())
	}
	for _, name := range s.serviceNames() {
		img.Services = append(img.Services, s.services[name].image(index))
	}
	var out bytes.Buffer
	zip := gzip.NewWriter(&out)
	if err := json.NewEncoder(zip).Encode(img); err != nil {
		return nil, fmt.Errorf("encode state at offset %d: %w", s.next, err)
	}
	if err := zip.Close(); err != nil {
		return nil, fmt.Errorf("encode state at offset %d: %w", s.next, err)
	}
	return out.Bytes(), nil
}

// serviceNames returns the names of the services divided by key, in order.
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
		Daemon: m.Daemon, Caller: m.Caller, BootID: m.BootID,
		BlindLimit: record.Millis(m.BlindLimit), Since: m.Since,
		Epoch: m.Epoch, Pair: m.Pair, PairSince: m.PairSince,
		Releases: m.Releases, Leaving: m.Leaving, Succeeded: m.Succeeded,
		Accused: m.Accused,
	}
}

// member returns the member that img was made from.
func (img memberImage) member() *Member {
	return &Member{
		ID: img.ID, Server: img.Server, Service: img.Service, Region: img.Region, Zone: img.Zone,
		Daemon: img.Daemon, Caller: img.Caller, BootID: img.BootID,
		BlindLimit: img.BlindLimit.Duration(), Since: img.Since,
		Epoch: img.Epoch, Pair: img.Pair, PairSince: img.PairSince,
		Releases: img.Releases, Leaving: img.Leaving, Succeeded: img.Succeeded,
		Accused: img.Accused,
	}
}

// image returns the JSON form of svc; index numbers the members.
func (s *Service) image(index map[record.Incarnation]int) serviceImage {
	img := serviceImage{Name: s.Name, Slots: len(s.slots), Planner: s.Planner, Term: s.Term}
	groups := map[Owner]int{}
	last := map[Owner]int{}
	for slot, owner := range s.slots {
		if owner.ID == "" {
			continue
		}
		n, ok := groups[owner]
		if !ok {
			n = len(img.Groups)
			groups[owner] = n
			img.Groups = append(img.Groups, groupImage{ownerImage: owner.image(index)})
		}
		img.Groups[n].Steps = append(img.Groups[n].Steps, slot-last[owner])
		last[owner] = slot
	}
	for _, key := range s.Carved() {
		img.Carved = append(img.Carved, ownedImage{Key: key, ownerImage: s.carved[key].image(index)})
	}
	return img
}

// image returns the JSON form of o; index numbers the members.
func (o Owner) image(index map[record.Incarnation]int) ownerImage {
	return ownerImage{Owner: index[o.ID], Token: o.Token, Cause: o.Cause}
}

// Decode returns the state that Encode made data from.
func Decode(data []byte) (*State, error) {
	zip, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("decode state: %w", err)
	}
	var img image
	if err := json.NewDecoder(io.LimitReader(zip, maxImageBytes)).Decode(&img); err != nil {
		return nil, fmt.Errorf("decode state: %w", err)
	}
	tree, err := settings.FromImage(img.Settings)
	if err != nil {
		return nil, fmt.Errorf("decode state: %w", err)
	}
	s := New()
	s.next = img.Next
	s.snapshotAt = img.SnapshotAt
	s.settings = tree
	s.goneList = img.Gone
	for _, id := range img.Gone {
		s.gone[id] = true
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

// loadService adds the service that img was made from.
func (s *State) loadService(img serviceImage, members []memberImage) error {
	settled, ok := s.settings.Service(img.Name)
	if !ok || settled.Slots != img.Slots {
		return fmt.Errorf("service %q with %d slots is not in the settings", img.Name, img.Slots)
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
				return fmt.Errorf("service %q: step %d leads to slot %d of %d", img.Name, step, slot, img.Slots)
			}
			svc.setSlot(slot, owner)
		}
	}
	svc.changes = 0
	for _, owned := range img.Carved {
		owner, err := owned.owner(members)
		if err != nil {
			return fmt.Errorf("service %q: key %q: %w", img.Name, owned.Key, err)
		}
		svc.carved[owned.Key] = owner
	}
	s.services[img.Name] = svc
	return nil
}

// owner returns the owner that img was made from.
func (img ownerImage) owner(members []memberImage) (Owner, error) {
	if img.Owner < -1 || img.Owner >= len(members) {
		return Owner{}, fmt.Errorf("owner %d does not exist among %d members", img.Owner, len(members))
	}
	owner := Owner{Token: img.Token, Cause: img.Cause}
	if img.Owner >= 0 {
		owner.ID = members[img.Owner].ID
	}
	return owner, nil
}
