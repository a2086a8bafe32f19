package directory

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Another writer may change the directory's topic, so an entry is checked when it is
// decoded. One that does not hold is stored, so that snapshots contain it unchanged, and
// defines nothing; the other entries hold. Whether an entry holds depends only on the
// entries and the version of the directory, so that all members decide the same.

const (
	// LeaseLimit is the longest lease that a member's entry may have.
	LeaseLimit = time.Minute
	// maxGuardians is the largest number of guardians that a member's entry may have.
	maxGuardians = 8
	// maxIgnored is the maximum number of Ignored that are kept until TakeIgnored is
	// called.
	maxIgnored = 8
)

// Ignored is an entry that defines nothing.
type Ignored struct {
	Key string
	// Reason says what is wrong with the entry.
	Reason error
}

// ignoredList holds the entries that were ignored since the last TakeIgnored. It keeps
// the first maxIgnored and counts the others in more.
type ignoredList struct {
	kept []Ignored
	more int
}

// add records that the entry at key is ignored.
func (l *ignoredList) add(key string, reason error) {
	if len(l.kept) >= maxIgnored {
		l.more++
		return
	}
	l.kept = append(l.kept, Ignored{Key: key, Reason: reason})
}

// TakeIgnored returns the entries that were applied and ignored since the last call, and
// the number of such entries beyond the list. An entry counts again when its value
// changes.
func (d *Directory) TakeIgnored() (list []Ignored, more int) {
	list, more = d.ignored.kept, d.ignored.more
	d.ignored = ignoredList{}
	return list, more
}

// decodeMember returns the member that e defines. The error says why it defines none.
func decodeMember(e Entry) (*Member, error) {
	m := &Member{}
	if err := unmarshal(e.Value, m); err != nil {
		return nil, err
	}
	switch {
	case !isAddress(m.Address):
		return nil, fmt.Errorf("member has no address and port: %v", m.Address)
	case memberKey(m.Address) != e.Key:
		return nil, fmt.Errorf("entry of member %v has another key", m.Address)
	case m.Service == "":
		return nil, errors.New("member has no service")
	case m.Lease < 0 || m.Lease > LeaseLimit:
		return nil, fmt.Errorf("member has lease %v, want at most %v", m.Lease, LeaseLimit)
	case m.State != Active && m.State != Leaving && m.State != Fenced:
		return nil, fmt.Errorf("member has unknown state %.20q", string(m.State))
	case m.FencedBy != netip.AddrPort{} && !isAddress(m.FencedBy):
		return nil, fmt.Errorf("member is fenced by %v, which is no address and port", m.FencedBy)
	}
	return m, checkGuardians(m)
}

// checkGuardians returns an error if the guardians of m are not other members, each named
// once.
func checkGuardians(m *Member) error {
	if len(m.Guardians) > maxGuardians {
		return fmt.Errorf("member has %d guardians, want at most %d", len(m.Guardians), maxGuardians)
	}
	for i, g := range m.Guardians {
		switch {
		case !isAddress(g):
			return fmt.Errorf("guardian %v is no address and port", g)
		case g == m.Address:
			return errors.New("member is its own guardian")
		case slices.Contains(m.Guardians[:i], g):
			return fmt.Errorf("guardian %v is named twice", g)
		}
	}
	return nil
}

// decodeAssignment returns the assignment that e defines. The error says why it defines
// none.
func decodeAssignment(e Entry) (*Assignment, error) {
	a := &Assignment{}
	fields := struct {
		*Assignment
		// The fields that may not be missing.
		First *uint16 `json:"first"`
		Last  *uint16 `json:"last"`
		Fence *uint64 `json:"fence"`
	}{Assignment: a}
	if err := unmarshal(e.Value, &fields); err != nil {
		return nil, err
	}
	if fields.First == nil || fields.Last == nil || fields.Fence == nil {
		return nil, errors.New("range has no first key, last key or fence")
	}
	a.First, a.Last, a.Fence = *fields.First, *fields.Last, *fields.Fence
	switch {
	case a.Service == "":
		return nil, errors.New("range has no service")
	case rangeKey(a.Service, a.First) != e.Key:
		return nil, fmt.Errorf("entry of the range from %d has another key", a.First)
	case a.First > a.Last:
		return nil, fmt.Errorf("range begins at %d and ends at %d", a.First, a.Last)
	case !isAddress(a.Owner):
		return nil, fmt.Errorf("range has no owner with an address and port: %v", a.Owner)
	case a.Fence == 0:
		return nil, errors.New("range has fence 0")
	}
	return a, nil
}

// isAddress reports whether addr is an address with a port.
func isAddress(addr netip.AddrPort) bool { return addr.IsValid() && addr.Port() != 0 }

// unmarshal decodes JSON into v. The text of the error has a limited length; that of
// encoding/json can contain the value.
func unmarshal(data []byte, v any) error {
	const maxErrorBytes = 120
	if err := json.Unmarshal(data, v); err != nil {
		text := err.Error()
		return errors.New(strings.ToValidUTF8(text[:min(len(text), maxErrorBytes)], ""))
	}
	return nil
}
