package measure

import (
	"context"
	"fmt"
	"strings"
	"time"

	"siskinknot/standin/processes"
)

// controlTime is how long an idle fleet is watched.
const controlTime = 8 * time.Second

// controlTree is the settings tree of an idle fleet.
const controlTree = `{"services": {"registry": {"kind": "divided", "slots": 256}}}`

// control measures what membership and leases cost an idle daemon, at fleets of
// different sizes.
func control(ctx context.Context, opts Options) ([]Table, error) {
	table := Table{
		Name: "Control of an idle daemon",
		Note: fmt.Sprintf("each fleet idle for %v; mean of its daemons; bytes are payload of TCP; the log's are those of its reads and appends", controlTime),
		Columns: []string{
			"daemons", "renewals/s sent", "renewals/s granted", "bytes/s control sent", "received", "bytes/s log sent", "received",
			"% of a core", "resident MiB", "most MiB", "sessions",
		},
	}
	for _, n := range []int{3, 12, 48} {
		row, err := controlOf(ctx, opts, n)
		if err != nil {
			return []Table{table}, err
		}
		table.Rows = append(table.Rows, row)
	}
	return []Table{table}, nil
}

// controlOf measures an idle fleet of n daemons.
func controlOf(ctx context.Context, opts Options, n int) ([]string, error) {
	fleet, err := startFleet(ctx, opts, controlTree, processes.Options{Servers: specs(group{"registry", n, "mid", nil})})
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	time.Sleep(2 * time.Second) // the pairs of guardians settle
	before, err := sums(fleet.Servers)
	if err != nil {
		return nil, err
	}
	time.Sleep(controlTime)
	after, err := sums(fleet.Servers)
	if err != nil {
		return nil, err
	}
	rate := func(name string) string {
		return fmt.Sprintf("%.1f", (after[name]-before[name])/controlTime.Seconds()/float64(n))
	}
	row := []string{
		fmt.Sprint(n),
		rate("siskinknot_lease_renewals"), rate("siskinknot_lease_renewals_granted"),
		rate(`siskinknot_bytes_sent{with="control"}`), rate(`siskinknot_bytes_received{with="control"}`),
		rate(`siskinknot_bytes_sent{with="log"}`), rate(`siskinknot_bytes_received{with="log"}`),
		fmt.Sprintf("%.2f", (after["cpu"]-before["cpu"])/controlTime.Seconds()/float64(n)*100),
		fmt.Sprintf("%.1f", after["resident"]/float64(n)), fmt.Sprintf("%.1f", after["most"]),
		fmt.Sprintf("%.1f", after["siskinknot_sessions_open"]/float64(n)),
	}
	return row, nil
}

// sums adds up the metrics of servers' daemons, their processor time (cpu, s) and
// their memory (resident and most, MiB); next is the furthest offset of the log.
func sums(servers []*processes.Server) (map[string]float64, error) {
	total := map[string]float64{}
	for _, s := range servers {
		total["cpu"] += cpu(s.Daemon.Pid()).Seconds()
		total["resident"] += resident(s.Daemon.Pid())
		total["most"] = max(total["most"], resident(s.Daemon.Pid()))
		values, err := metrics(s)
		if err != nil {
			return nil, err
		}
		total["next"] = max(total["next"], values["siskinknot_log_next_offset"])
		for name, value := range values {
			if strings.HasPrefix(name, "siskinknot_") {
				total[name] += value
			}
		}
	}
	return total, nil
}
