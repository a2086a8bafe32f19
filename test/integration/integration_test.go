// Package integration tests the guarantees of siskinknot with a fleet of real
// processes (daemons, targets and the log service) on loopback, while faults are
// injected. docs/PROOFS.md lists what each test shows.
//
// # Usage
//
//	make build
//	SISKINKNOT_BIN=$PWD/bin go test -timeout 10m -parallel 2 ./test/integration
//
// These environment variables set how the tests run:
//   - SISKINKNOT_BIN: the directory of the programs; without it, the tests build
//     them
//   - SISKINKNOT_SEED: the seed of all random choices, 1 by default
//   - SISKINKNOT_LONG: the factor by which the tests take longer than in CI, 1 by
//     default
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

// waitTimeout is the upper limit of each wait of a test. It is not a requirement on
// how long an operation may take.
const waitTimeout = 40 * time.Second

// binDir is the directory of the programs under test.
var binDir string

// seed is the seed of all random choices in these tests.
var seed = envInt("SISKINKNOT_SEED", 1)

// durationFactor is the factor by which the tests take longer than in CI.
var durationFactor = envInt("SISKINKNOT_LONG", 1)

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

// runTests runs the tests and returns the exit code. It builds the programs first
// if SISKINKNOT_BIN does not name their directory.
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

// envInt returns the number in the environment variable name, or def if it is not
// set or not a number.
func envInt(name string, def int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return def
}

// testTree is the settings tree of a fleet unless a test gives its own.
const testTree = `{
  "values": {"default_deadline_ms": 4000, "balance_interval_ms": 500},
  "services": {
    "registry": {"kind": "divided", "slots": 32, "values": {"target_checks_grants": true}},
    "archive": {"kind": "shared"}
  }
}`

// specs returns the servers of a fleet: as many registry and archive servers as
// given, over three availability zones. The targets are started with args.
func specs(registry, archive int, args ...string) []processes.ServerSpec {
	list := make([]processes.ServerSpec, 0, registry+archive)
	for i := range registry {
		list = append(list, processes.ServerSpec{
			Name: fmt.Sprintf("registry-%d", i+1), Service: "registry", Zone: zone(i), TargetArgs: args,
		})
	}
	for i := range archive {
		list = append(list, processes.ServerSpec{
			Name: fmt.Sprintf("archive-%d", i+1), Service: "archive", Zone: zone(i), TargetArgs: args,
		})
	}
	return list
}

// zone returns the availability zone of the server with index i.
func zone(i int) string { return "mid-" + string("abc"[i%3]) }

// start starts a fleet and waits until it is ready. The fleet is closed when the
// test ends, and if the test has failed, the daemons' logs are printed.
func start(t *testing.T, opts processes.Options) *processes.Fleet {
	t.Helper()
	t.Parallel()
	opts.Bin = binDir
	if opts.Settings == nil {
		opts.Settings = json.RawMessage(testTree)
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
	if err := fleet.WaitReady(timeoutContext(t)); err != nil {
		t.Fatal(err)
	}
	return fleet
}

// printLogs logs the last 12 KiB of the daemons' logs in the file at path.
func printLogs(t *testing.T, path string) {
	t.Helper()
	const maxBytes = 12 << 10
	data, err := os.ReadFile(path)
	if err != nil {
		return
	}
	t.Logf("%s", data[max(0, len(data)-maxBytes):])
}

// timeoutContext returns a context that ends after waitTimeout or with the test.
func timeoutContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	t.Cleanup(cancel)
	return ctx
}

// newRand returns a random number generator for the given stream of the seed.
func newRand(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(uint64(seed), stream))
}

// bootNow returns the current time in nanoseconds, on the clock by which the
// targets record their runs.
func bootNow() int64 { return boottime.Now().UnixNano() }
