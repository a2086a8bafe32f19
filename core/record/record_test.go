package record

import (
	"encoding/json"
	"reflect"
	"testing"
)

// TestRoundTrip encodes and decodes a record of each type and compares the result
// with the original. For Announce it checks only that encoding and decoding succeed.
func TestRoundTrip(t *testing.T) {
	unit := Unit{Slot: 3, Key: "hot", Token: 9}
	tests := []Record{
		Announce{By: "a#1", Server: "a", BlindLimit: 5e9},
		Guardians{By: "a#1", Epoch: 2, Pair: [2]Incarnation{"b#1", "c#1"}, Consent: "b#1", Releases: 4},
		Assign{By: "a#1", Service: "s"},
		Release{By: "a#1", Service: "s", Seq: 1, Transfers: []Transfer{{Unit: unit, To: "b#1"}}},
		Revoke{By: "b#1", Of: "a#1", Epoch: 2, Heir: true},
		Leave{By: "a#1"},
		Accuse{By: "a#1", Of: "b#1"},
		Alive{By: "b#1"},
		Planner{By: "a#1", Service: "s", Term: 1},
		Edit{ID: "e", Node: "/", Patch: json.RawMessage(`{}`)},
		Snapshot{By: "a#1", AsOf: 7, State: []byte{1, 2}},
	}
	for _, rec := range tests {
		t.Run(Kind(rec), func(t *testing.T) {
			data, err := Encode(rec)
			if err != nil {
				t.Fatal(err)
			}
			got, err := Decode(data)
			if err != nil || !reflect.DeepEqual(got, rec) && Kind(rec) != "announce" {
				t.Errorf("Decode(Encode(rec)) = %+v, %v; want %+v", got, err, rec)
			}
		})
	}
}

// FuzzDecode checks that Decode does not panic, and that each record that it accepts
// can be encoded.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"type": "announce", "body": {"by": "a#1", "daemon_address": "10.0.0.1:1", "blind_limit_ms": 5}}`))
	f.Add([]byte(`{"type": "release", "body": {"transfers": [{"slot": -1}]}}`))
	f.Add([]byte(`{"type": "edit", "body": {"patch": null}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		rec, err := Decode(data)
		if err != nil {
			return
		}
		if _, err := Encode(rec); err != nil {
			t.Fatalf("Decode accepts %+v, but Encode returns: %v", rec, err)
		}
	})
}
