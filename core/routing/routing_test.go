package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// route returns a valid route with the given name, host and path prefix.
func route(name, host, prefix string) Route {
	return Route{
		Name: name, Host: host, PathPrefix: prefix, Kind: Safe, Timeout: time.Second, MaxAttempts: 1,
		Splits: []Split{{Service: "s", Weight: 1}},
	}
}

func TestMatch(t *testing.T) {
	table, err := New(1, []Route{route("a", "x.example", "/a/"), route("ab", "X.example", "/a/b/"), route("other", "y.example", "/")},
		[]Service{{Name: "s"}}, Limits{})
	require.NoError(t, err)
	for _, row := range []struct{ host, path, want string }{
		{"x.example", "/a/1", "a"},
		{"x.example", "/a/b/1", "ab"},
		{"x.example:8080", "/a/bc", "a"},
		{"X.EXAMPLE", "/a/", "a"},
		{"x.example", "/a", ""},
		{"x.example", "/c/", ""},
		{"y.example", "/c", "other"},
		{"z.example", "/a/", ""},
		{"", "", ""},
	} {
		r, ok := table.Match(row.host, row.path)
		require.Equal(t, row.want != "", ok, row)
		if ok {
			require.Equal(t, row.want, r.Name)
		}
	}
}

func TestPick(t *testing.T) {
	r := Route{Splits: []Split{{"a", 90}, {"b", 0}, {"c", 10}}}
	got := map[string]int{}
	for i := range 1000 {
		got[r.PickService(float64(i)/1000)]++
	}
	require.Equal(t, map[string]int{"a": 900, "c": 100}, got)
}

func TestNewRejectsInvalidRoutes(t *testing.T) {
	for _, row := range []struct {
		name   string
		change func(r *Route)
		want   string
	}{
		{"no host", func(r *Route) { r.Host = "" }, `route "r": host is empty`},
		{"prefix without final slash", func(r *Route) { r.PathPrefix = "/a" }, `route "r": path prefix "/a" does not begin and end with a slash`},
		{"unknown kind", func(r *Route) { r.Kind = "x" }, `route "r": kind "x" does not exist`},
		{"timeout not positive", func(r *Route) { r.Timeout = 0 }, `route "r": timeout 0s is not positive`},
		{"no attempts", func(r *Route) { r.MaxAttempts = 0 }, `route "r": 0 attempts, want at least 1`},
		{"no service", func(r *Route) { r.Splits = nil }, `route "r": no service`},
		{"unknown service", func(r *Route) { r.Splits[0].Service = "t" }, `route "r": service "t" does not exist`},
		{"weights of zero", func(r *Route) { r.Splits[0].Weight = 0 }, `route "r": weights add up to 0`},
	} {
		t.Run(row.name, func(t *testing.T) {
			r := route("r", "h", "/")
			row.change(&r)
			_, err := New(1, []Route{r}, []Service{{Name: "s"}}, Limits{})
			require.EqualError(t, err, row.want)
		})
	}
}
