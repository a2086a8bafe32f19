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
	// zoneMeasureTime is how long the fleet is measured after the loss.
	zoneMeasureTime = 8 * time.Second
)

// zoneLoss measures the loss of an availability zone while the log accepts few
// appends per second. At the target size 230 daemons are lost at the same time and
// the log accepts 300 appends per second. For the 16 daemons lost here a limit of 20
// has about the same effect.
func zoneLoss(ctx context.Context, opts Options) ([]Table, error) {
	table := Table{
		Name: "Loss of an availability zone with a slow log",
		Note: fmt.Sprintf("%d daemons in three availability zones, one zone lost, %d slots, %d lookups/s on %d keys at the other entries; "+
			"records are those on the log within %v of the loss, lapses the leases of survivors that ended",
			zoneDaemons, zoneSlots, recoveryRate, recoveryKeys, zoneMeasureTime),
		Columns: []string{"appends/s", "longest ms", "99 in 100 keys ms", "median key ms", "records", "pairs sent", "lapses", "not run", "unknown"},
	}
	for range opts.Rounds {
		for _, rate := range []int{0, 20} {
			row, err := measureZoneLoss(ctx, opts, rate)
			if err != nil {
				return []Table{table}, err
			}
			table.Rows = append(table.Rows, row)
		}
	}
	return []Table{table}, nil
}

// measureZoneLoss measures the loss with a limit of rate appends per second,
// where 0 is no limit, and returns its row of the table.
func measureZoneLoss(ctx context.Context, opts Options, rate int) ([]string, error) {
	tree := fmt.Sprintf(`{"services": {"registry": {"kind": "divided", "slots": %d, "values": {"balance_policy": "none"}}}}`, zoneSlots)
	fleet, err := startFleet(ctx, opts, tree, processes.Options{Servers: vmSpecs(group{"registry", zoneDaemons, "mid", nil})})
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	t := &trial{ctx: ctx, fleet: fleet, victim: fleet.Servers[1], ingresses: processes.NewIngresses(fleet)}
	lost := t.avoidZone()
	sleep(ctx, time.Second)
	r := faultResult{tally: load.NewTally(), gaps: load.NewGaps()}
	loadCtx, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { t.offerLookups(loadCtx, r) })
	sleep(ctx, time.Second)
	before, err := sumMetrics(t.ingresses.Used())
	if err == nil {
		err = fleet.SetLogFaults(logservice.Faults{AppendsPerSecond: rate})
	}
	lostAt := time.Now()
	for _, s := range lost {
		s.Kill()
	}
	sleep(ctx, time.Until(lostAt.Add(zoneMeasureTime)))
	stop()
	wg.Wait()
	after, sumErr := sumMetrics(t.ingresses.Used())
	switch {
	case err != nil:
		return nil, err
	case sumErr != nil:
		return nil, sumErr
	}
	increase := func(name string) string {
		return fmt.Sprintf("%.0f", after["siskinknot_"+name]-before["siskinknot_"+name])
	}
	return []string{
		fmt.Sprint(rate), ms(r.gaps.Longest()), ms(quantile(r.gaps.PerKey(), 0.99)), ms(quantile(r.gaps.PerKey(), 0.5)),
		fmt.Sprintf("%.0f", after["next"]-before["next"]), increase("lease_pairs_sent"), increase("lease_lapses"),
		fmt.Sprint(r.tally.Count(load.NotRun)), fmt.Sprint(r.tally.Count(load.Unknown)),
	}, nil
}
