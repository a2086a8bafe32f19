package processes

import (
	"context"
	"fmt"
	"strings"
	"time"

	"siskinknot/io/member"
)

// pollEvery is the time between two looks at a condition.
const pollEvery = 10 * time.Millisecond

// Until waits until cond returns "", and otherwise returns what it said last.
func Until(ctx context.Context, cond func() string) error {
	for {
		problem := cond()
		if problem == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %s", ctx.Err(), problem)
		case <-time.After(pollEvery):
		}
	}
}

// OwnsNothing says why, as st shows it, server owns slots of a service or slots
// have no owner, or "".
func OwnsNothing(st member.FleetStatus, server string) string {
	for _, svc := range st.Services {
		if svc.Free > 0 {
			return fmt.Sprintf("%d slots of %s have no owner", svc.Free, svc.Name)
		}
	}
	for _, m := range st.Members {
		if strings.HasPrefix(string(m.ID), server+"#") && m.Slots > 0 {
			return fmt.Sprintf("%s owns %d slots", m.ID, m.Slots)
		}
	}
	return ""
}

// InForce says which member, as st shows it, does not have the settings of
// version, or "".
func InForce(st member.FleetStatus, version uint64) string {
	for _, m := range st.Members {
		if m.SettingsVersion < version {
			return fmt.Sprintf("%s has settings version %d of %d", m.ID, m.SettingsVersion, version)
		}
	}
	return ""
}

// UntilStatus waits until cond returns "" for the status that a server's daemon
// reports.
func (s *Server) UntilStatus(ctx context.Context, cond func(member.FleetStatus) string) error {
	return Until(ctx, func() string {
		st, err := s.Operator.Status(ctx)
		if err != nil {
			return err.Error()
		}
		return cond(st)
	})
}
