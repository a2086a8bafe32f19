// Package record defines the records that daemons and operators append to the
// platform's log.
//
// A record is a JSON object with the member "type" and the members of the Go
// type of that name. Records are proposals: whether one takes effect is decided
// by package fleet, which folds them in offset order and ignores those that are
// stale or invalid. Appending a record twice is therefore harmless.
//
// # Usage
//
//	data, err := record.Encode(record.Leave{By: me})
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

// MaxBytes is the largest encoded record that a daemon appends or accepts.
const MaxBytes = 4 << 20

// Incarnation names one run of one daemon. A process that restarts, or that
// finds itself revoked, takes a new one.
type Incarnation string

// Record is one of the record types of this package.
type Record interface {
	kind() string
}

// Announce makes an incarnation a member of the fleet.
type Announce struct {
	By      Incarnation `json:"by"`
	Server  string      `json:"server"`
	Service string      `json:"service"`
	// Region is empty in a fleet of one region.
	Region string `json:"region,omitempty"`
	Zone   string `json:"availability_zone"`
	// Daemon is the address of the inner protocol.
	Daemon netip.AddrPort `json:"daemon_address"`
	// Caller is the address of the callers' HTTP interface.
	Caller netip.AddrPort `json:"caller_address"`
	// BootID identifies the boot of the VM. An earlier member with the same
	// server, daemon address and boot id has certainly exited.
	BootID string `json:"boot_id"`
	// BlindLimit is how long the member holds without reading the log.
	BlindLimit Millis `json:"blind_limit_ms"`
}

// Guardians names the two guardians of By from Epoch on.
type Guardians struct {
	By    Incarnation    `json:"by"`
	Epoch uint64         `json:"epoch"`
	Pair  [2]Incarnation `json:"pair"`
	// Consent is the guardian of the previous epoch that agreed; empty for
	// the first pair, and when both previous guardians are lost.
	Consent Incarnation `json:"consent,omitempty"`
	// Releases is the number of Release records By has sent.
	Releases uint64 `json:"releases"`
}

// Assign spreads the slots of Service that have no owner over its members.
type Assign struct {
	By      Incarnation `json:"by"`
	Service string      `json:"service"`
}

// Unit is something that has one owner: a slot, or a key carved out of it.
type Unit struct {
	Slot int    `json:"slot"`
	Key  string `json:"key,omitempty"`
	// Token is the offset at which the present owner of the unit (for a key
	// not yet carved out, of its slot) became its owner.
	Token uint64 `json:"token"`
}

// Transfer names the next owner of a unit.
type Transfer struct {
	Unit
	To Incarnation `json:"to"`
}

// Release passes units from By to others. The sender stops serving them first.
type Release struct {
	By      Incarnation `json:"by"`
	Service string      `json:"service"`
	// Seq numbers the releases of By from 1 on.
	Seq       uint64     `json:"seq"`
	Transfers []Transfer `json:"transfers"`
}

// Revoke ends the incarnation Of and passes its units on.
type Revoke struct {
	By    Incarnation `json:"by"`
	Of    Incarnation `json:"of"`
	Epoch uint64      `json:"epoch"`
	// Heir is set when By serves the units of Of already and keeps them all.
	Heir bool `json:"heir,omitempty"`
	// Accused is the offset of the unanswered Accuse that the revoke stands
	// on; zero when it stands on the promises of the guardians.
	Accused uint64 `json:"accused,omitempty"`
}

// Leave marks By as leaving: it receives no further units.
type Leave struct {
	By Incarnation `json:"by"`
}

// Accuse asks Of to show that it still reads the log.
type Accuse struct {
	By Incarnation `json:"by"`
	Of Incarnation `json:"of"`
}

// Alive answers an Accuse.
type Alive struct {
	By Incarnation `json:"by"`
}

// Planner claims the planning of Service for Term.
type Planner struct {
	By      Incarnation `json:"by"`
	Service string      `json:"service"`
	Term    uint64      `json:"term"`
}

// Edit changes one node of the settings tree.
type Edit struct {
	ID string `json:"edit_id"`
	// Base is the settings version that the editor saw.
	Base uint64 `json:"base_version"`
	// Node is the path of the node: "/", "/service" or "/service/prefix".
	Node string `json:"node"`
	// Patch is a JSON merge patch (RFC 7396) of the node.
	Patch  json.RawMessage `json:"patch"`
	Author string          `json:"author,omitempty"`
}

// Snapshot stands for all records before AsOf.
type Snapshot struct {
	By   Incarnation `json:"by"`
	AsOf uint64      `json:"as_of"`
	// State is the state in the compressed form of package fleet.
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

// Kind returns the value of rec's member "type".
func Kind(rec Record) string { return rec.kind() }

// envelope carries the type beside the members of the record.
type envelope struct {
	Type string          `json:"type"`
	Body json.RawMessage `json:"body"`
}

// Encode returns the JSON form of rec.
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

// Decode parses the JSON form of a record.
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
		return nil, fmt.Errorf("record type %q does not exist", env.Type)
	}
}

// decodeAs parses the body of env as a T.
func decodeAs[T Record](env envelope) (Record, error) {
	var rec T
	if err := json.Unmarshal(env.Body, &rec); err != nil {
		return nil, fmt.Errorf("decode %s record: %w", env.Type, err)
	}
	return rec, nil
}

// Millis is a duration that JSON shows as a whole number of milliseconds.
type Millis time.Duration

// Duration returns m as a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) }

// MarshalJSON implements json.Marshaler.
func (m Millis) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(m).Milliseconds())
}

// UnmarshalJSON implements json.Unmarshaler.
func (m *Millis) UnmarshalJSON(data []byte) error {
	var n int64
	if err := json.Unmarshal(data, &n); err != nil {
		return fmt.Errorf("%s is not a whole number of milliseconds", data)
	}
	const limit = int64(1<<63-1) / int64(time.Millisecond)
	if n < 0 || n > limit {
		return fmt.Errorf("%d ms is not between 0 and %d", n, limit)
	}
	*m = Millis(time.Duration(n) * time.Millisecond)
	return nil
}
