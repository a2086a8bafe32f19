package lease

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"runtime"
	"strconv"
	"sync"
	"testing"

	"siskinknot/core/fleet"
	"siskinknot/core/record"

	"pgregory.net/rapid"
)

// envInt returns the number in the named environment variable, or def.
func envInt(name string, def int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return def
}

// TestNoTwoHolders checks that no key has two holders at a time, with faults that
// rapid draws and, on a failure, shrinks.
func TestNoTwoHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		faults := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
			return fault{
				Tick:   rapid.IntRange(20, modelTicks-1).Draw(t, "tick"),
				Kind:   rapid.IntRange(0, faultKinds-1).Draw(t, "kind"),
				Daemon: rapid.IntRange(0, modelDaemons-1).Draw(t, "daemon"),
				Other:  rapid.IntRange(0, modelDaemons-1).Draw(t, "other"),
				Length: rapid.IntRange(1, maxFaultTicks).Draw(t, "length"),
			}
		}), 0, 40).Draw(t, "faults")
		m := newModel(seed, 0, noneDisabled)
		if key := m.run(faults); key != "" {
			t.Fatalf("key %q has two holders", key)
		}
	})
}

// TestSeeds checks many more seeds than TestNoTwoHolders does, and also that
// every key is served again after the faults have ended. make prove sets the
// number of seeds.
func TestSeeds(t *testing.T) {
	first := envInt("SISKINKNOT_SEED", 1)
	seeds := envInt("SISKINKNOT_MODEL_SEEDS", 500)
	t.Logf("seeds %d to %d", first, first+seeds-1)
	var workers sync.WaitGroup
	defer workers.Wait()
	next := make(chan uint64)
	defer close(next)
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for seed := range next {
				checkSeed(t, seed)
			}
		})
	}
	for i := range seeds {
		next <- uint64(first + i)
	}
}

// checkSeed runs the model with the faults of a seed and then without faults.
func checkSeed(t *testing.T, seed uint64) {
	m := newModel(seed, 0, noneDisabled)
	key := m.run(randomFaults(rand.New(rand.NewPCG(seed, 2))))
	if key == "" {
		key = m.runWithoutFaults(recoveryTicks)
	}
	if key != "" {
		t.Errorf("seed %d: key %q has two holders", seed, key)
		return
	}
	before := m.servedTicks
	if key := m.runWithoutFaults(recoveryTicks / 10); key != "" {
		t.Errorf("seed %d: key %q has two holders after the faults", seed, key)
	}
	for i, key := range modelKeys {
		if m.servedTicks[i] == before[i] {
			t.Errorf("seed %d: key %q is not served %d ticks after the last fault", seed, key, recoveryTicks)
		}
	}
}

// TestEachRuleIsNeeded disables one rule or check at a time. With the given seed
// the model must then find a key with two holders, and none with all rules
// enabled. The seeds were found by a search, which make prove repeats.
func TestEachRuleIsNeeded(t *testing.T) {
	tests := []struct {
		name          string
		disabledRules rule
		check         disabledCheck
		seed          uint64
	}{
		{name: "a lease counts from the sending of its request", disabledRules: ruleCountFromSend, seed: 23},
		{name: "a guardian renews only while it holds or has read the head", disabledRules: ruleRenewWhileHolding, seed: 1370},
		{name: "a promise waits for the last renewal to lapse", disabledRules: rulePromiseAfterLapse, seed: 3},
		{name: "a guardian that promised does not renew", disabledRules: ruleNoRenewAfterPromise, seed: 5},
		{name: "a revoke needs both promises", disabledRules: ruleBothPromises, seed: 5},
		{name: "a lost guardian counts after twice the lease", disabledRules: ruleLostGuardianDelay, seed: 8},
		{name: "no renewal is accepted while a new pair is pending", disabledRules: ruleNoRenewalDuringChange, seed: 1088},
		{name: "a new guardian counts from when it applied the pair", disabledRules: ruleCountFromApply, seed: 3},
		{name: "consent is refused after a promise", disabledRules: ruleNoConsentAfterPromise, seed: 2174},
		{name: "a new pair needs consent", disabledRules: ruleConsentRequired, check: consentCheck, seed: 47},
		{name: "after an off-log promise only the heir revokes", disabledRules: ruleOnlyHeirRevokes, seed: 1},
		{name: "no heir after a consent", disabledRules: ruleNoHeirAfterConsent, seed: 2482},
		{name: "no heir after a revoke was sent", disabledRules: ruleNoHeirAfterRevoke, seed: 81},
		{name: "an heir serves under its own lease", disabledRules: ruleHeirOwnLease, seed: 687},
		{name: "a release is sent after its notice", disabledRules: ruleReleaseNotice, seed: 278},
		{name: "an heir does not serve before it applied all releases", disabledRules: ruleHeirAppliedReleases, seed: 274},
		{name: "a unit is not served once its release is sent", disabledRules: ruleSentReleaseCloses, seed: 1},
		{name: "holding ends with the blind limit", disabledRules: ruleBlindLimit, seed: 35},
		{name: "an accusation stops the growth of the blind limit", disabledRules: ruleAccusedFreezesBlindLimit, seed: 1564},
		{name: "an heir stops when it applies an accusation", disabledRules: ruleAccusedStopsHeir, seed: 2327},
		{name: "a revoke names the current epoch", check: epochCheck, seed: 361},
		{name: "a release is settled once", check: seqCheck, seed: 1},
		{name: "a revoke names an unanswered accusation", check: accusedCheck, seed: 4976},
	}
	search := envInt("SISKINKNOT_MODEL_SEARCH", 0)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if search > 0 {
				t.Parallel()
				searchSeed(t, tt.disabledRules, tt.check, uint64(search))
				return
			}
			if runSeed(tt.seed, tt.disabledRules, tt.check) == "" {
				t.Errorf("seed %d: the model finds no key with two holders although the rule is disabled", tt.seed)
			}
			if key := runSeed(tt.seed, 0, noneDisabled); key != "" {
				t.Errorf("seed %d: key %q has two holders with the rule enabled", tt.seed, key)
			}
		})
	}
}

// searchSeed searches for the first seed with which the model finds two holders
// while a rule is disabled.
func searchSeed(t *testing.T, disabledRules rule, check disabledCheck, limit uint64) {
	for seed := uint64(1); seed <= limit; seed++ {
		if runSeed(seed, disabledRules, check) != "" {
			t.Logf("FOUND %d", seed)
			return
		}
	}
	t.Errorf("no seed up to %d leads to a key with two holders", limit)
}

// BenchmarkChoosePair measures the choice of guardians in a fleet of the size for
// which the project is designed.
func BenchmarkChoosePair(b *testing.B) {
	const members = 3200
	state := fleet.New()
	var ids []record.Incarnation
	for i := range members {
		id := record.Incarnation(fmt.Sprintf("d%d#1", i))
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1)
		state.Apply(state.NextOffset(), record.Announce{
			By: id, Server: fmt.Sprint("d", i), Service: modelService, Zone: fmt.Sprint("z", i%14),
			DaemonAddress: addr, CallerAddress: addr, BootID: "boot",
		})
		ids = append(ids, id)
	}
	b.ResetTimer()
	for i := range b.N {
		_, ok := ChoosePair(state, ids[i%members], [2]record.Incarnation{}, func(*fleet.Member) bool { return true })
		if !ok {
			b.Fatal("no pair")
		}
	}
}
