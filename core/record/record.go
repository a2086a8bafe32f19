// Package record defines the records that daemons and operators append to the
// platform's log.
//
// A record is encoded as a JSON object with two members: "type", the name of the
// record type in lower case, and "body", the JSON form of the Go type of that name.
//
// A record is a proposal. Package fleet decides whether it takes effect: it applies
// the records in offset order and ignores those that are stale or invalid.
// Appending a record twice is therefore harmless.
//
// # Usage
//
//	data, err := record.Encode(record.Leave{By: self})
//	rec, err := record.Decode(data)
//	switch rec := rec.(type) {
//	case record.Leave:
//		...
//	}
package record

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"
)

// MaxBytes is the maximum size in bytes of an encoded record that a daemon appends
// to the log or accepts from it.
const MaxBytes = 4 << 20

// Incarnation identifies one run of one daemon. A process chooses a new
// incarnation when it starts, and when it finds that its incarnation was revoked.
type Incarnation string

// Record is implemented by the record types of this package.
type Record interface {
	// kind returns the value of the JSON member "type".
	kind() string
}

// Announce makes By a member of the fleet.
type Announce struct {
	By Incarnation `json:"by"`
	// Server is the name of the server that the daemon of By runs beside.
	Server  string `json:"server"`
	Service string `json:"service"`
	// Region is empty if the fleet runs in a single region.
	Region string `json:"region,omitempty"`
	// Zone is the availability zone.
	Zone string `json:"availability_zone"`
	// DaemonAddress is the address of the protocol between daemons.
	DaemonAddress netip.AddrPort `json:"daemon_address"`
	// CallerAddress is the address of the HTTP interface for callers.
	CallerAddress netip.AddrPort `json:"caller_address"`
	// BootID identifies the boot of the VM. The process of an earlier member with
	// the same server, daemon address and boot ID has certainly exited.
	BootID string `json:"boot_id"`
	// BlindLimit is how long the member's lease stays valid without a read of the
	// head of the log.
	BlindLimit Millis `json:"blind_limit_ms"`
	// GrantsLast is how much longer the target may have requests with grants of an
	// earlier member that this record succeeds.
	GrantsLast Millis `json:"grants_last_ms,omitempty"`
}

// Guardians names the two guardians of By for Epoch. A guardian of By is another
// daemon that grants leases to By.
type Guardians struct {
	By Incarnation `json:"by"`
	// Epoch is the number of the pair, counted from 1 for each member.
	Epoch uint64 `json:"epoch"`
	// Pair holds the first and the second guardian.
	Pair [2]Incarnation `json:"pair"`
	// Consent is the guardian of the previous epoch that agreed to the new pair.
	// It is empty for the first pair, and if both previous guardians are lost.
	Consent Incarnation `json:"consent,omitempty"`
	// Releases is the number of Release records that By has sent.
	Releases uint64 `json:"releases"`
}

// Assign distributes the units of Service that have no owner over its members.
type Assign struct {
	By      Incarnation `json:"by"`
	Service string      `json:"service"`
}

// Unit is the unit of ownership: a slot, or a carved key. A carved key is a single
// key that is owned separately from its slot.
type Unit struct {
	// Slot is the slot, or the slot that the hash of Key selects.
	Slot int `json:"slot"`
	// Key is the carved key, or the key to be carved out of the slot. It is empty
	// if the unit is the slot.
	Key string `json:"key,omitempty"`
	// Token is the offset of the record that made the current owner of the unit its
	// owner. For a key that is not carved out yet, it is the token of the slot.
	Token uint64 `json:"token"`
}

// Transfer names the next owner of a unit.
type Transfer struct {
	Unit
	// To is the next owner.
	To Incarnation `json:"to"`
}

// Release transfers units from By to other members. By stops serving the units
// before it sends the record.
type Release struct {
	By      Incarnation `json:"by"`
	Service string      `json:"service"`
	// Seq is the number of the release, counted from 1 for each sender.
	Seq       uint64     `json:"seq"`
	Transfers []Transfer `json:"transfers"`
}

// Revoke ends the membership of Of and gives its units to other members.
type Revoke struct {
	By Incarnation `json:"by"`
	// Of is the incarnation that is revoked.
	Of Incarnation `json:"of"`
	// Epoch is the current epoch of the guardians of Of.
	Epoch uint64 `json:"epoch"`
	// Heir is set if By, the first guardian of Of, already serves the units of Of.
	// By then becomes the owner of all of them.
	Heir bool `json:"heir,omitempty"`
	// Accused is the offset of the unanswered Accuse that justifies the revoke. It
	// is 0 if the promises of the guardians not to renew the lease of Of justify
	// it.
	Accused uint64 `json:"accused,omitempty"`
}

// Leave marks By as leaving: it receives no further units.
type Leave struct {
	By Incarnation `json:"by"`
}

// Accuse asks Of to show that it still reads the log, by sending an Alive. If Of
// does not, it can be revoked.
type Accuse struct {
	By Incarnation `json:"by"`
	// Of is the member that is accused.
	Of Incarnation `json:"of"`
}

// Alive is the answer of By to an Accuse.
type Alive struct {
	By Incarnation `json:"by"`
}

// Planner makes By the planner of Service for Term. The planner proposes moves of
// units between members.
type Planner struct {
	By      Incarnation `json:"by"`
	Service string      `json:"service"`
	// Term is the number of the current term plus 1; the first term is 1.
	Term uint64 `json:"term"`
}

// Edit changes one node of the settings tree.
type Edit struct {
	// ID identifies the edit. Another record with the same ID is ignored as long as
	// the settings tree remembers the result of the edit.
	ID string `json:"edit_id"`
	// Base is the version of the settings that the edit is based on.
	Base uint64 `json:"base_version"`
	// Node is the path of the node: "/", "/service" or "/service/prefix".
	Node string `json:"node"`
	// Patch is a JSON merge patch (RFC 7396) that is applied to the node.
	Patch json.RawMessage `json:"patch"`
	// Author names who made the edit.
	Author string `json:"author,omitempty"`
}

// Snapshot holds the state of the fleet after all records before AsOf. A daemon can
// load it instead of applying those records.
type Snapshot struct {
	By Incarnation `json:"by"`
	// AsOf is the offset of the first record that the state does not include.
	AsOf uint64 `json:"as_of"`
	// State is the state in the form that fleet.State.Encode returns.
	State []byte `json:"state"`
}

func (Announce) kind() string  { return "announce" }
func (Guardians) kind() string { return "guardians" }
func (Assign) kind() string    { return "assign" }
func (Release) kind() string   { return "release" }
func (Revoke) kind() string    { return "revoke" }
func (Leave) kind() string     { return "leave" }
func (Accuse) kind() string    { return "accuse" }
func (Alive) kind() string     { return "alive" }
func (Planner) kind() string   { return "planner" }
func (Edit) kind() string      { return "edit" }
func (Snapshot) kind() string  { return "snapshot" }

// Kind returns the name of the type of rec, as in the JSON member "type".
func Kind(rec Record) string { return rec.kind() }

// envelope is the JSON form of a record of any type.
type envelope struct {
	Type string `json:"type"`
	// Body is the JSON form of the Go type that Type selects.
	Body json.RawMessage `json:"body"`
}

// Encode returns the JSON form of rec. It returns an error if rec cannot be
// marshaled or its JSON form is longer than MaxBytes.
func Encode(rec Record) ([]byte, error) {
	body, err := json.Marshal(rec)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", rec.kind(), err)
	}
	data, err := json.Marshal(envelope{Type: rec.kind(), Body: body})
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", rec.kind(), err)
	}
	if len(data) > MaxBytes {
		return nil, fmt.Errorf("%s record has %d bytes, limit %d", rec.kind(), len(data), MaxBytes)
	}
	return data, nil
}

// Decode parses the JSON form of a record. It returns an error if data is longer
// than MaxBytes, is not a JSON record, or has an unknown type.
func Decode(data []byte) (Record, error) {
	if len(data) > MaxBytes {
		return nil, fmt.Errorf("record has %d bytes, limit %d", len(data), MaxBytes)
	}
	var env envelope
	if err := json.Unmarshal(data, &env); err != nil {
		return nil, fmt.Errorf("decode record: %w", err)
	}
	switch env.Type {
	case "announce":
		return decodeAs[Announce](env)
	case "guardians":
		return decodeAs[Guardians](env)
	case "assign":
		return decodeAs[Assign](env)
	case "release":
		return decodeAs[Release](env)
	case "revoke":
		return decodeAs[Revoke](env)
	case "leave":
		return decodeAs[Leave](env)
	case "accuse":
		return decodeAs[Accuse](env)
	case "alive":
		return decodeAs[Alive](env)
	case "planner":
		return decodeAs[Planner](env)
	case "edit":
		return decodeAs[Edit](env)
	case "snapshot":
		return decodeAs[Snapshot](env)
	default:
		return nil, fmt.Errorf("unknown record type %q", env.Type)
	}
}

// decodeAs parses the body of env as a record of type T.
func decodeAs[T Record](env envelope) (Record, error) {
	var rec T
	if err := json.Unmarshal(env.Body, &rec); err != nil {
		return nil, fmt.Errorf("decode %s record: %w", env.Type, err)
	}
	return rec, nil
}

// Millis is a duration whose JSON form is a whole number of milliseconds.
type Millis time.Duration

// Duration returns m as a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) }

// MarshalJSON implements json.Marshaler. Fractions of a millisecond are cut off.
func (m Millis) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(m).Milliseconds())
}

// UnmarshalJSON implements json.Unmarshaler. It returns an error if data is not a
// whole number of milliseconds, is negative, or is too large for a time.Duration.
func (m *Millis) UnmarshalJSON(data []byte) error {
	var n int64
	if err := json.Unmarshal(data, &n); err != nil {
		return fmt.Errorf("%s is not a whole number of milliseconds", data)
	}
	const limit = int64(1<<63-1) / int64(time.Millisecond)
	if n < 0 || n > limit {
		return fmt.Errorf("%d ms is not between 0 and %d ms", n, limit)
	}
	*m = Millis(time.Duration(n) * time.Millisecond)
	return nil
}
