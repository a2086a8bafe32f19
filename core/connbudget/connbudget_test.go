package connbudget_test

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"siskinknot/core/connbudget"
)

// TestDivide guards against grants or releases that leave no connection for requests.
func TestDivide(t *testing.T) {
	for _, row := range []struct {
		name    string
		maximum int
		want    connbudget.Budget
	}{
		{"not stated", 0, connbudget.Budget{Grants: 24, Releases: 16}},
		{"negative", -5, connbudget.Budget{Grants: 24, Releases: 16}},
		{"one", 1, connbudget.Budget{Requests: 1, Grants: 1, Releases: 1}},
		{"few", 8, connbudget.Budget{Requests: 3, Grants: 2, Releases: 1}},
		{"usual", 73, connbudget.Budget{Requests: 41, Grants: 18, Releases: 12}},
		{"many", 460, connbudget.Budget{Requests: 418, Grants: 24, Releases: 16}},
		{"absurd", math.MaxInt, connbudget.Budget{Requests: math.MaxInt - 42, Grants: 24, Releases: 16}},
	} {
		t.Run(row.name, func(t *testing.T) { require.Equal(t, row.want, connbudget.Divide(row.maximum)) })
	}
}

// TestShares checks that all uses together stay within the limit, and that requests have
// half of the connections.
func TestShares(t *testing.T) {
	for maximum := 5; maximum < 2000; maximum++ {
		b := connbudget.Divide(maximum)
		require.LessOrEqual(t, b.Requests+b.Grants+b.Releases, maximum)
		require.GreaterOrEqual(t, 2*b.Requests, maximum-2*2)
	}
}
