package processes

import (
	"context"
	"fmt"
	"strings"
	"time"

	"siskinknot/io/member"
)

// pollInterval is the time between two checks of a condition.
const pollInterval = 10 * time.Millisecond

// WaitFor waits until cond, which describes what is still missing, returns "".
// If ctx ends first, WaitFor returns the error of ctx with the last
// description.
func WaitFor(ctx context.Context, cond func() string) error {
	for {
		missing := cond()
		if missing == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %s", ctx.Err(), missing)
		case <-time.After(pollInterval):
		}
	}
}

// OwnsNoSlots returns "" if, according to st, server owns no slots and every slot
// has an owner. Otherwise it describes the slots concerned.
func OwnsNoSlots(st member.FleetStatus, server string) string {
	for _, svc := range st.Services {
		if svc.Unowned > 0 {
			return fmt.Sprintf("%d slots of %s have no owner", svc.Unowned, svc.Name)
		}
	}
	for _, m := range st.Members {
		if strings.HasPrefix(string(m.ID), server+"#") && m.Slots > 0 {
			return fmt.Sprintf("%s owns %d slots", m.ID, m.Slots)
		}
	}
	return ""
}

// SettingsInEffect returns "" if, according to st, the settings of version or
// later are in effect on every member. Otherwise it names a member with older
// settings.
func SettingsInEffect(st member.FleetStatus, version uint64) string {
	for _, m := range st.Members {
		if m.SettingsVersion < version {
			return fmt.Sprintf("%s has settings version %d of %d", m.ID, m.SettingsVersion, version)
		}
	}
	return ""
}

// WaitStatus waits until cond returns "" for the fleet status that the daemon of s
// reports. If ctx ends first, it returns an error with the last description.
func (s *Server) WaitStatus(ctx context.Context, cond func(member.FleetStatus) string) error {
	return WaitFor(ctx, func() string {
		st, err := s.Operator.Status(ctx)
		if err != nil {
			return err.Error()
		}
		return cond(st)
	})
}
