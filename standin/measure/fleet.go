package measure

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"siskinknot/standin/processes"
)

// readyTimeout limits the start of a fleet, and each trial of a fault.
const readyTimeout = time.Minute

// group describes the servers of one service.
type group struct {
	service string
	servers int
	// zones is the prefix of the names of the availability zones.
	zones string
	// args are further arguments of the targets.
	args []string
}

// vmSpecs returns the servers of groups. Those of each group are spread over
// three availability zones.
func vmSpecs(groups ...group) []processes.ServerSpec {
	var list []processes.ServerSpec
	for _, g := range groups {
		for i := range g.servers {
			list = append(list, processes.ServerSpec{
				Name:       fmt.Sprintf("%s-%d", g.service, i+1),
				Service:    g.service,
				Zone:       g.zones + "-" + string("abc"[i%3]),
				TargetArgs: g.args,
			})
		}
	}
	return list
}

// startFleet starts a fleet with a settings tree, and waits until it is ready. On
// error nothing is left running.
func startFleet(ctx context.Context, opts Options, tree string, fleetOpts processes.Options) (*processes.Fleet, error) {
	fleetOpts.Bin = opts.Bin
	fleetOpts.Logs = opts.Logs
	fleetOpts.Settings = json.RawMessage(tree)
	fleetOpts.ExtraConfig = map[string]any{"tracing": map[string]any{"sample_ratio": 0}}
	fleet, err := processes.Start(fleetOpts)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := fleet.WaitReady(ctx); err != nil {
		fleet.Close()
		return nil, err
	}
	return fleet, nil
}

// clockTick is the number of ticks per second in which /proc counts processor
// time.
const clockTick = 100

// cpu returns the processor time that the process pid has used, or 0 if it cannot
// be read.
func cpu(pid int) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * time.Second / clockTick
}

// resident returns the resident memory of the process pid in MiB, or 0 if it
// cannot be read.
func resident(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	pages, _ := strconv.Atoi(strings.Fields(string(data))[1])
	return float64(pages*os.Getpagesize()) / (1 << 20)
}

// metrics returns the values of a daemon's metrics. The keys are the metric names
// with their labels.
func metrics(s *processes.Server) (map[string]float64, error) {
	resp, err := http.Get("http://" + s.OperatorAddr.String() + "/metrics")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	values := map[string]float64{}
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		name, text, ok := strings.Cut(scanner.Text(), " ")
		if value, err := strconv.ParseFloat(text, 64); ok && err == nil {
			values[name] = value
		}
	}
	return values, scanner.Err()
}
