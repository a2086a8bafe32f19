package lease

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"siskinknot/core/fleet"
	"siskinknot/core/record"
)

// members returns a state with a member for each of specs, "SERVICE REGION ZONE
// [GUARDIANS]"; guardians are numbers of members.
func members(t *testing.T, specs ...string) (*fleet.State, []record.Incarnation) {
	t.Helper()
	state := fleet.New()
	var ids []record.Incarnation
	for i, spec := range specs {
		fields := strings.Fields(spec)
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)
		ids = append(ids, record.Incarnation(fmt.Sprintf("m%d", i)))
		state.Apply(state.Next(), record.Announce{
			By: ids[i], Server: fmt.Sprint(i), Service: fields[0], Region: fields[1], Zone: fields[2],
			Daemon: addr, Caller: addr, BootID: "boot",
		})
	}
	for i, spec := range specs {
		fields := strings.Fields(spec)
		if len(fields) < 5 {
			continue
		}
		pair := [2]record.Incarnation{record.Incarnation(fields[3]), record.Incarnation(fields[4])}
		verdict := state.Apply(state.Next(), record.Guardians{By: ids[i], Epoch: 1, Pair: pair})
		require.Equal(t, fleet.Accepted{}, verdict)
	}
	return state, ids
}

func TestChoosePair(t *testing.T) {
	none := [2]record.Incarnation{}
	tests := []struct {
		name    string
		specs   []string
		keep    [2]record.Incarnation
		without record.Incarnation
		want    [2]record.Incarnation // for m0; empty for none
	}{
		{"too few", []string{"r x a", "r x b"}, none, "", none},
		{"the first of the same service, in other zones", []string{"r x a", "s x b", "r x c", "r x a"}, none, "", [2]record.Incarnation{"m2", "m1"}},
		{"two zones are better than one", []string{"r x a", "r x b", "r x b", "s x c"}, [2]record.Incarnation{"m1"}, "", [2]record.Incarnation{"m1", "m3"}},
		{"within the region", []string{"r x a", "r y b", "r x c", "r y d", "r x e"}, [2]record.Incarnation{"m2"}, "", [2]record.Incarnation{"m2", "m4"}},
		{"another region rather than the same zone", []string{"r x a", "r x b", "s x a", "s x b", "s y c"}, none, "", [2]record.Incarnation{"m1", "m4"}},
		{"a guardian is kept", []string{"r x a", "s x b", "r x c", "r x b"}, [2]record.Incarnation{"m3"}, "", [2]record.Incarnation{"m3", "m2"}},
		{"one that cannot be used is not", []string{"r x a", "s x b", "r x c", "r x b"}, [2]record.Incarnation{"m3"}, "m3", [2]record.Incarnation{"m2", "m1"}},
		{"not mutually", []string{"r x a", "r x b m0 m2", "r x b m1 m3", "s x c"}, none, "", [2]record.Incarnation{"m2", "m3"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			state, ids := members(t, tt.specs...)
			pair, ok := ChoosePair(state, ids[0], tt.keep, func(m *fleet.Member) bool { return m.ID != tt.without })
			require.Equal(t, tt.want != none, ok)
			require.Equal(t, tt.want, pair)
		})
	}
}
