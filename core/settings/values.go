package settings

import (
	"encoding/json"
	"fmt"
	"time"
)

// Values are the effective settings of a key. The JSON names are those of the
// tree.
type Values struct {
	DefaultDeadlineMs       int64  `json:"default_deadline_ms"`
	MaxDeadlineMs           int64  `json:"max_deadline_ms"`
	MaxBodyBytes            int64  `json:"max_body_bytes"`
	ProgressTimeoutMs       int64  `json:"progress_timeout_ms"`
	TargetSlots             int    `json:"target_slots"`
	TargetConnections       int    `json:"target_connections"`
	TargetChecksGrants      bool   `json:"target_checks_grants"`
	QueueLength             int    `json:"queue_length"`
	BulkSharePercent        int    `json:"bulk_share_percent"`
	ClassQueues             bool   `json:"class_queues"`
	FairQueueing            bool   `json:"fair_queueing"`
	EarlyRefusal            bool   `json:"early_refusal"`
	RetryAttempts           int    `json:"retry_attempts"`
	RetryBudgetPercent      int    `json:"retry_budget_percent"`
	RememberIDsMs           int64  `json:"remember_ids_ms"`
	BalancePolicy           string `json:"balance_policy"`
	BalanceIntervalMs       int64  `json:"balance_interval_ms"`
	BalanceThresholdPercent int    `json:"balance_threshold_percent"`
	BalanceMaxMoves         int    `json:"balance_max_moves"`
	HotKeyPercent           int    `json:"hot_key_percent"`
	SlowServerPercent       int    `json:"slow_server_percent"`
	SharedChoice            string `json:"shared_choice"`
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

// RememberIDs returns how long the ids of requests are kept.
func (v *Values) RememberIDs() time.Duration { return millis(v.RememberIDsMs) }

// BalanceInterval returns the time between two runs of the planner.
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
