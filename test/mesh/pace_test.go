package mesh

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskinknot/standin/meshfleet"
)

// choicesByCost returns the number of choices by cost that the daemon of vm has counted.
func choicesByCost(t *testing.T, vm *meshfleet.VM) int {
	t.Helper()
	resp, err := http.Get(fmt.Sprintf("http://%v/metrics", vm.MetricsAddress()))
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	sum := 0
	for _, match := range regexp.MustCompile(`target_choices\{[^}]*reason="(cheapest|other_zone|no_local)"[^}]*\} (\d+)`).FindAllStringSubmatch(string(data), -1) {
		n, err := strconv.Atoi(match[2])
		require.NoError(t, err)
		sum += n
	}
	return sum
}

// TestSlowTargetGetsFewerRequests guards against paces that do not reach the daemons that choose, or that change their choice
// where targets report none.
func TestSlowTargetGetsFewerRequests(t *testing.T) {
	const (
		settleTime, window = 4 * time.Second, 6 * time.Second
		slow               = 5 // VM
		maxShare           = 0.2
	)
	f := start(t, 3, 3)
	shared := f.VMs[3:]
	f.load(f.VMs[0], f.VMs[1], f.VMs[2], f.VMs[3], f.VMs[4], f.VMs[5])
	time.Sleep(time.Second)
	require.Zero(t, choicesByCost(t, f.VMs[0]), "choices by cost before any target has reported a pace")
	for i, vm := range f.VMs {
		pace := 1.0
		if i == slow {
			pace = 6
		}
		vm.Server.SetPace(pace)
	}
	time.Sleep(settleTime)
	before := make([]int, len(shared))
	for i, vm := range shared {
		before[i] = len(vm.Server.Arrivals())
	}
	time.Sleep(window)
	total, got := 0, 0
	for i, vm := range shared {
		arrivals := len(vm.Server.Arrivals()) - before[i]
		total += arrivals
		if vm == f.VMs[slow] {
			got = arrivals
		}
	}
	require.Positive(t, choicesByCost(t, f.VMs[0]))
	t.Logf("the slow target got %d of %d requests; %d choices by cost at the first daemon", got, total, choicesByCost(t, f.VMs[0]))
	require.LessOrEqual(t, float64(got), maxShare*float64(total))
}
