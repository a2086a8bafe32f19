package measure

import (
	"context"
	"fmt"
	"time"

	"siskinknot/standin/meshfleet"
)

// meshStartTimeout limits the start of an idle fleet.
const meshStartTimeout = time.Minute

// meshControl measures the cost of membership to an idle daemon of the mesh, in
// fleets of different sizes.
func meshControl(ctx context.Context, opts Options) ([]Table, error) {
	table := Table{
		Name:    "Control of an idle mesh daemon",
		Note:    fmt.Sprintf("each fleet idle for %v, a quarter of it of the shared service; mean of its daemons", controlTime),
		Columns: []string{"daemons", "% of a core", "resident MiB", "calls to the store/s, all daemons"},
	}
	for _, n := range []int{12, 24, 48, 96} {
		row, err := measureMeshControl(ctx, opts, n)
		if err != nil {
			return []Table{table}, err
		}
		table.Rows = append(table.Rows, row)
	}
	return []Table{table}, nil
}

// measureMeshControl measures an idle fleet of n daemons and returns its row of the
// table.
func measureMeshControl(ctx context.Context, opts Options, n int) ([]string, error) {
	fleet, err := meshfleet.Start(meshfleet.Options{Bin: opts.Bin, Seed: 1, Registry: n - n/4, Archive: n / 4})
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	startCtx, cancel := context.WithTimeout(ctx, meshStartTimeout)
	defer cancel()
	if err := fleet.WaitServing(startCtx); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second) // until the guardians no longer change
	usage := func() (processor time.Duration, memory float64) {
		for _, vm := range fleet.VMs {
			processor += cpu(vm.Pid())
			memory += resident(vm.Pid())
		}
		return processor, memory
	}
	before, _ := usage()
	calls := fleet.Store.Calls()
	time.Sleep(controlTime)
	after, memory := usage()
	return []string{
		fmt.Sprint(n),
		fmt.Sprintf("%.2f", (after-before).Seconds()/controlTime.Seconds()/float64(n)*100),
		fmt.Sprintf("%.1f", memory/float64(n)),
		fmt.Sprintf("%.1f", float64(fleet.Store.Calls()-calls)/controlTime.Seconds()),
	}, nil
}
