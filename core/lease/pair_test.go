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

// newMembers returns a state with one member for each of specs, which has the
// form "SERVICE REGION ZONE [GUARDIAN GUARDIAN]". The members are named m0, m1
// and so on, and their guardians are given by these names.
func newMembers(t *testing.T, specs ...string) (*fleet.State, []record.Incarnation) {
	t.Helper()
	state := fleet.New()
	var ids []record.Incarnation
	for i, spec := range specs {
		fields := strings.Fields(spec)
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)
		ids = append(ids, record.Incarnation(fmt.Sprintf("m%d", i)))
		state.Apply(state.NextOffset(), record.Announce{
			By: ids[i], Server: fmt.Sprint(i), Service: fields[0], Region: fields[1], Zone: fields[2],
			DaemonAddress: addr, CallerAddress: addr, BootID: "boot",
		})
	}
	for i, spec := range specs {
		fields := strings.Fields(spec)
		if len(fields) < 5 {
			continue
		}
		pair := [2]record.Incarnation{record.Incarnation(fields[3]), record.Incarnation(fields[4])}
		result := state.Apply(state.NextOffset(), record.Guardians{By: ids[i], Epoch: 1, Pair: pair})
		require.Equal(t, fleet.Accepted{}, result)
	}
	return state, ids
}

func TestChoosePair(t *testing.T) {
	noPair := [2]record.Incarnation{}
	tests := []struct {
		name     string
		specs    []string
		keep     [2]record.Incarnation
		unusable record.Incarnation
		want     [2]record.Incarnation // guardians of m0; noPair if it can have none
	}{
		{"too few members", []string{"r x a", "r x b"}, noPair, "", noPair},
		{"first guardian of the same service, both in other zones", []string{"r x a", "s x b", "r x c", "r x a"}, noPair, "", [2]record.Incarnation{"m2", "m1"}},
		{"guardians in two different zones", []string{"r x a", "r x b", "r x b", "s x c"}, [2]record.Incarnation{"m1"}, "", [2]record.Incarnation{"m1", "m3"}},
		{"guardians in the same region", []string{"r x a", "r y b", "r x c", "r y d", "r x e"}, [2]record.Incarnation{"m2"}, "", [2]record.Incarnation{"m2", "m4"}},
		{"another region is better than the member's own zone", []string{"r x a", "r x b", "s x a", "s x b", "s y c"}, noPair, "", [2]record.Incarnation{"m1", "m4"}},
		{"usable guardian is kept", []string{"r x a", "s x b", "r x c", "r x b"}, [2]record.Incarnation{"m3"}, "", [2]record.Incarnation{"m3", "m2"}},
		{"unusable guardian is not kept", []string{"r x a", "s x b", "r x c", "r x b"}, [2]record.Incarnation{"m3"}, "m3", [2]record.Incarnation{"m2", "m1"}},
		{"not guardians of each other", []string{"r x a", "r x b m0 m2", "r x b m1 m3", "s x c"}, noPair, "", [2]record.Incarnation{"m2", "m3"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			state, ids := newMembers(t, tt.specs...)
			pair, ok := ChoosePair(state, ids[0], tt.keep, func(m *fleet.Member) bool { return m.ID != tt.unusable })
			require.Equal(t, tt.want != noPair, ok)
			require.Equal(t, tt.want, pair)
		})
	}
}
