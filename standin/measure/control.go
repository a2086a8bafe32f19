package measure

import (
	"context"
	"fmt"
	"strings"
	"time"

	"siskinknot/standin/processes"
)

// controlTime is how long an idle fleet is measured.
const controlTime = 8 * time.Second

// controlTree is the settings tree of an idle fleet.
const controlTree = `{"services": {"registry": {"kind": "divided", "slots": 256}}}`

// control measures the cost of membership and leases to an idle daemon, in fleets
// of different sizes.
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
		row, err := measureControl(ctx, opts, n)
		if err != nil {
			return []Table{table}, err
		}
		table.Rows = append(table.Rows, row)
	}
	return []Table{table}, nil
}

// measureControl measures an idle fleet of n daemons and returns its row of the
// table.
func measureControl(ctx context.Context, opts Options, n int) ([]string, error) {
	fleet, err := startFleet(ctx, opts, controlTree, processes.Options{Servers: vmSpecs(group{"registry", n, "mid", nil})})
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	time.Sleep(2 * time.Second) // until the pairs of guardians no longer change
	before, err := sumMetrics(fleet.Servers)
	if err != nil {
		return nil, err
	}
	time.Sleep(controlTime)
	after, err := sumMetrics(fleet.Servers)
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

// sumMetrics returns the metrics of the servers' daemons, added up by name. It adds
// "cpu", their processor time in seconds; "resident", their resident memory in
// MiB; "most", the resident memory of the largest daemon in MiB; and "next", the
// highest offset of the log that a daemon expects next.
func sumMetrics(servers []*processes.Server) (map[string]float64, error) {
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
