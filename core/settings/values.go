package settings

import (
	"encoding/json"
	"fmt"
	"time"
)

// Values are the effective settings of a key. The JSON names are those of the
// tree.
type Values struct {
	// DefaultDeadlineMs is the deadline of a request that does not set one, in
	// milliseconds after its arrival.
	DefaultDeadlineMs int64 `json:"default_deadline_ms"`
	// MaxDeadlineMs is the longest deadline that a request may set, in
	// milliseconds.
	MaxDeadlineMs int64 `json:"max_deadline_ms"`
	// MaxBodyBytes is the maximum size of a request body, in bytes.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// ProgressTimeoutMs is how long a connection may make no progress, in
	// milliseconds.
	ProgressTimeoutMs int64 `json:"progress_timeout_ms"`
	// TargetSlots is the maximum number of concurrent requests at a target.
	TargetSlots int `json:"target_slots"`
	// TargetConnections is the maximum number of connections to a target.
	TargetConnections int `json:"target_connections"`
	// TargetChecksGrants is whether targets check the grants of their daemons.
	TargetChecksGrants bool `json:"target_checks_grants"`
	// QueueLength is the maximum number of requests that wait in one queue.
	QueueLength int `json:"queue_length"`
	// BulkSharePercent is the share of the target slots that bulk requests may
	// hold, in percent. It has an effect only with ClassQueues.
	BulkSharePercent int `json:"bulk_share_percent"`
	// ClassQueues gives each class of requests its own queue.
	ClassQueues bool `json:"class_queues"`
	// FairQueueing serves the callers of a queue in round robin instead of the
	// requests in the order of their arrival.
	FairQueueing bool `json:"fair_queueing"`
	// EarlyRefusal refuses requests that are expected to miss their deadline,
	// instead of queueing them.
	EarlyRefusal bool `json:"early_refusal"`
	// RetryAttempts is the maximum number of attempts of a request; see
	// retry.Policy.
	RetryAttempts int `json:"retry_attempts"`
	// RetryBudgetPercent is the number of retries that requests add to the retry
	// budget, in percent of the number of requests.
	RetryBudgetPercent int `json:"retry_budget_percent"`
	// RememberIDsMs is how long the ids of requests are remembered, in
	// milliseconds.
	RememberIDsMs int64 `json:"remember_ids_ms"`
	// BalancePolicy is "none", "moves" (of slots and carved keys), or
	// "moves_and_keys", with which hot keys are carved out as well.
	BalancePolicy string `json:"balance_policy"`
	// BalanceIntervalMs is the minimum time between two runs of the planner, in
	// milliseconds.
	BalanceIntervalMs int64 `json:"balance_interval_ms"`
	// BalanceThresholdPercent is by how much the most loaded server has to exceed
	// the mean load before a unit moves, in percent of the mean.
	BalanceThresholdPercent int `json:"balance_threshold_percent"`
	// BalanceMaxMoves is the maximum number of moves in a plan, not counting
	// those from slow servers.
	BalanceMaxMoves int `json:"balance_max_moves"`
	// HotKeyPercent is the minimum load of a key that is carved out, in percent
	// of the mean load of a server.
	HotKeyPercent int `json:"hot_key_percent"`
	// SlowServerPercent is the latency above which a server counts as slow, in
	// percent of the latency of the median server. If it is 0, no server
	// counts as slow.
	SlowServerPercent int `json:"slow_server_percent"`
	// SharedChoice is how a target of a shared service is chosen:
	// "two_choices", "round_robin" or "random"; see package balance.
	SharedChoice string `json:"shared_choice"`
}

// Defaults are the values of the fields that no node sets.
var Defaults = Values{
	DefaultDeadlineMs:       2_000,
	MaxDeadlineMs:           600_000,
	MaxBodyBytes:            1 << 30,
	ProgressTimeoutMs:       5_000,
	TargetSlots:             12,
	TargetConnections:       110,
	TargetChecksGrants:      false,
	QueueLength:             256,
	BulkSharePercent:        50,
	ClassQueues:             true,
	FairQueueing:            true,
	EarlyRefusal:            true,
	RetryAttempts:           6,
	RetryBudgetPercent:      20,
	RememberIDsMs:           600_000,
	BalancePolicy:           "moves_and_keys",
	BalanceIntervalMs:       2_000,
	BalanceThresholdPercent: 15,
	BalanceMaxMoves:         8,
	HotKeyPercent:           15,
	SlowServerPercent:       400,
	SharedChoice:            "two_choices",
}

// DefaultDeadline returns the deadline of a request that does not set one.
func (v *Values) DefaultDeadline() time.Duration { return millis(v.DefaultDeadlineMs) }

// ProgressTimeout returns how long a connection may make no progress before it
// times out.
func (v *Values) ProgressTimeout() time.Duration { return millis(v.ProgressTimeoutMs) }

// RememberIDs returns how long the ids of requests are remembered.
func (v *Values) RememberIDs() time.Duration { return millis(v.RememberIDsMs) }

// BalanceInterval returns the minimum time between two runs of the planner.
func (v *Values) BalanceInterval() time.Duration { return millis(v.BalanceIntervalMs) }

// millis returns n milliseconds.
func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// defaultFields returns Defaults as the fields of a node.
func defaultFields() fields {
	data, err := json.Marshal(Defaults)
	if err != nil {
		panic(fmt.Sprintf("encode default settings: %v", err))
	}
	var values fields
	if err := json.Unmarshal(data, &values); err != nil {
		panic(fmt.Sprintf("decode default settings: %v", err))
	}
	return values
}
