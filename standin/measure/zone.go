package measure

import (
	"context"
	"fmt"
	"sync"
	"time"

	"siskinknot/standin/load"
	"siskinknot/standin/logservice"
	"siskinknot/standin/processes"
)

// Parameters of the zone section.
const (
	zoneDaemons = 48
	zoneSlots   = 1024
	// zoneWatched is how long the fleet is watched after the loss.
	zoneWatched = 8 * time.Second
)

// zoneLoss measures the loss of an availability zone while the log takes few
// appends a second. At the target size 230 daemons are lost at a time and the
// log takes 300: a rate of 20 does to the 16 lost here about the same.
func zoneLoss(ctx context.Context, opts Options) ([]Table, error) {
	table := Table{
		Name: "Loss of an availability zone with a slow log",
		Note: fmt.Sprintf("%d daemons in three availability zones, one zone lost, %d slots, %d lookups/s on %d keys at the other entries; "+
			"records are those on the log within %v of the loss, lapses the leases of survivors that ended",
			zoneDaemons, zoneSlots, recoveryRate, recoveryKeys, zoneWatched),
		Columns: []string{"appends/s", "longest ms", "99 in 100 keys ms", "median key ms", "records", "pairs sent", "lapses", "not run", "unknown"},
	}
	for range opts.Rounds {
		for _, rate := range []int{0, 20} {
			row, err := zoneLossOf(ctx, opts, rate)
			if err != nil {
				return []Table{table}, err
			}
			table.Rows = append(table.Rows, row)
		}
	}
	return []Table{table}, nil
}

// zoneLossOf measures with one rate of appends.
func zoneLossOf(ctx context.Context, opts Options, rate int) ([]string, error) {
	tree := fmt.Sprintf(`{"services": {"registry": {"kind": "divided", "slots": %d, "values": {"balance_policy": "none"}}}}`, zoneSlots)
	fleet, err := startFleet(ctx, opts, tree, processes.Options{Servers: specs(group{"registry", zoneDaemons, "mid", nil})})
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	t := &trial{ctx: ctx, fleet: fleet, victim: fleet.Servers[1], entries: processes.NewEntries(fleet)}
	lost := t.zone()
	pause(ctx, time.Second)
	r := tried{tally: load.NewTally(), gaps: load.NewGaps()}
	loadCtx, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { t.offer(loadCtx, r) })
	pause(ctx, time.Second)
	before, err := sums(t.entries.Used())
	if err == nil {
		err = fleet.SetLogFaults(logservice.Faults{AppendsPerSecond: rate})
	}
	began := time.Now()
	for _, s := range lost {
		s.Kill()
	}
	pause(ctx, time.Until(began.Add(zoneWatched)))
	stop()
	wg.Wait()
	after, sumErr := sums(t.entries.Used())
	switch {
	case err != nil:
		return nil, err
	case sumErr != nil:
		return nil, sumErr
	}
	grown := func(name string) string {
		return fmt.Sprintf("%.0f", after["siskinknot_"+name]-before["siskinknot_"+name])
	}
	return []string{
		fmt.Sprint(rate), ms(r.gaps.Longest()), ms(quantile(r.gaps.Each(), 0.99)), ms(quantile(r.gaps.Each(), 0.5)),
		fmt.Sprintf("%.0f", after["next"]-before["next"]), grown("lease_pairs_sent"), grown("lease_lapses"),
		fmt.Sprint(r.tally.Count(load.NotRun)), fmt.Sprint(r.tally.Count(load.Unknown)),
	}, nil
}
