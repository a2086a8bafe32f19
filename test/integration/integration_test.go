// Package integration proves the promises of siskinknot with real processes,
// under failure. docs/PROOFS.md lists what each test shows.
package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"siskinknot/io/boottime"
	"siskinknot/standin/processes"
)

// patience bounds every wait; it says nothing about how long things should
// take.
const patience = 40 * time.Second

// binDir is the directory of the programs.
var binDir string

// seed is the seed of everything random in these tests.
var seed = environment("SISKINKNOT_SEED", 1)

// long is how much longer than in CI the tests run.
var long = environment("SISKINKNOT_LONG", 1)

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

// runTests builds the programs if they were not given.
func runTests(m *testing.M) int {
	fmt.Println("seed", seed)
	binDir = os.Getenv("SISKINKNOT_BIN")
	if binDir != "" {
		return m.Run()
	}
	dir, err := os.MkdirTemp("", "siskinknot-bin-")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	build := exec.Command("go", "build", "-o", dir, "siskinknot/cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Println("build:", err)
		return 1
	}
	binDir = dir
	return m.Run()
}

// environment returns a number from the environment, or def.
func environment(name string, def int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return def
}

// testTree is the settings tree of the tests.
const testTree = `{
  "values": {"default_deadline_ms": 4000, "balance_interval_ms": 500},
  "services": {
    "registry": {"kind": "divided", "slots": 32, "values": {"target_checks_grants": true}},
    "archive": {"kind": "shared"}
  }
}`

// specs returns the servers of a fleet: registry and archive servers, over
// three availability zones.
func specs(registry, archive int, args ...string) []processes.ServerSpec {
	list := make([]processes.ServerSpec, 0, registry+archive)
	for i := range registry {
		list = append(list, processes.ServerSpec{
			Name: fmt.Sprintf("registry-%d", i+1), Service: "registry", Zone: zone(i), Target: args,
		})
	}
	for i := range archive {
		list = append(list, processes.ServerSpec{
			Name: fmt.Sprintf("archive-%d", i+1), Service: "archive", Zone: zone(i), Target: args,
		})
	}
	return list
}

func zone(i int) string { return "mid-" + string("abc"[i%3]) }

// start starts a fleet and waits until it is ready.
func start(t *testing.T, opts processes.Options) *processes.Fleet {
	t.Helper()
	t.Parallel()
	opts.Bin = binDir
	if opts.Tree == nil {
		opts.Tree = json.RawMessage(testTree)
	}
	logs, err := os.Create(filepath.Join(t.TempDir(), "logs"))
	if err != nil {
		t.Fatal(err)
	}
	opts.Logs = logs
	fleet, err := processes.Start(opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		fleet.Close()
		if t.Failed() {
			printLogs(t, logs.Name())
		}
	})
	if err := fleet.WaitReady(within(t)); err != nil {
		t.Fatal(err)
	}
	return fleet
}

// printLogs shows the end of the daemons' logs of a test that failed.
func printLogs(t *testing.T, path string) {
	t.Helper()
	const most = 12 << 10
	data, err := os.ReadFile(path)
	if err != nil {
		return
	}
	t.Logf("%s", data[max(0, len(data)-most):])
}

// within returns a context that ends when patience does.
func within(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	t.Cleanup(cancel)
	return ctx
}

// newRand returns a source of random numbers for a test.
func newRand(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(uint64(seed), stream))
}

// bootNow returns the present time on the clock of the targets' record.
func bootNow() int64 { return boottime.Now().UnixNano() }
