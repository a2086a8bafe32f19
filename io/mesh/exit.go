package mesh

import (
	"context"
	"slices"
	"time"

	"siskinknot/core/directory"
)

const (
	// exitStoreWait is how long the target waits for its announced exit to be stored. It
	// takes no acknowledgement after a second.
	exitStoreWait = 850 * time.Millisecond
	// maxAnnouncedExits limits the exits that are kept in memory.
	maxAnnouncedExits = 8
)

// announcedExit is an exit that a target has announced at announcedAt to this process.
type announcedExit struct {
	directory.Exit
	announcedAt time.Time
}

// TargetExiting records that the target's process instance announces at now that it is
// exiting; unixNow is the time of the VM's clock. It returns true once the announcement may
// be acknowledged: the exit is in the directory, where this daemon's next process finds it.
// It returns false if the directory could not be changed in time. The target then gets no
// more requests all the same, and the change is attempted again.
func (m *Mesh) TargetExiting(ctx context.Context, now, unixNow time.Time, instance string) bool {
	m.mu.Lock()
	m.recordExit(now, unixNow, instance)
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, exitStoreWait)
	defer cancel()
	for {
		m.mu.Lock()
		stored, changed := len(m.exitEntries(m.dir)) == 0, m.changed
		m.mu.Unlock()
		if stored {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			m.log.Warn("announced exit is not stored yet", "instance", instance)
			return false
		}
	}
}

// recordExit records an announced exit. This process may not have heard of the target that
// announces it, or not any more. The caller holds the mutex.
func (m *Mesh) recordExit(now, unixNow time.Time, instance string) {
	if slices.ContainsFunc(m.announcedExits, func(x announcedExit) bool { return x.Instance == instance }) {
		return
	}
	exit := announcedExit{Exit: directory.Exit{Address: m.cfg.Self, Instance: instance, Born: unixNow.UnixMilli()}, announcedAt: now}
	me := m.dir.Member(m.cfg.Self)
	switch {
	case m.target.Instance == instance:
		exit.Born = m.target.Born
		m.recordLeaving(now, "exit")
	case me != nil && me.Instance == instance:
		exit.Born = me.Born
	}
	m.announcedExits = append(m.announcedExits, exit)
	if n := len(m.announcedExits); n > maxAnnouncedExits {
		m.announcedExits = m.announcedExits[n-maxAnnouncedExits:]
	}
}

// exitedAt returns since when the process instance that started at born has been exiting, and
// reports false if it has announced no exit. One that was announced to a former process of
// this daemon counts as DrainTime old at now. The caller holds the mutex.
func (m *Mesh) exitedAt(now time.Time, instance string, born int64) (time.Time, bool) {
	for _, x := range m.announcedExits {
		if x.Covers(instance, born) {
			return x.announcedAt, true
		}
	}
	if m.dir.ExitAt(m.cfg.Self).Covers(instance, born) {
		return now.Add(-m.cfg.DrainTime), true
	}
	return time.Time{}, false
}

// adoptExit records that the target is leaving if the directory has its exit. A process that
// has not heard from any target takes the one in its member entry for the current one: an
// exiting target may send no more heartbeats. The caller holds the mutex.
func (m *Mesh) adoptExit(now time.Time) {
	instance, born := m.target.Instance, m.target.Born
	if me := m.dir.Member(m.cfg.Self); instance == "" && me != nil && me.Service == m.cfg.Service {
		instance, born = me.Instance, me.Born
	}
	if since, exiting := m.exitedAt(now, instance, born); exiting {
		m.target.Instance, m.target.Born = instance, born
		m.recordLeaving(since, "directory")
	}
}

// exitEntries returns the entry that stores the latest announced exit, or none if the
// directory has it. The exit of the current target goes before those of processes that this
// daemon does not know. The caller holds the mutex.
func (m *Mesh) exitEntries(dir *directory.Directory) []directory.Entry {
	if len(m.announcedExits) == 0 {
		return nil
	}
	latest := m.announcedExits[len(m.announcedExits)-1].Exit
	for _, x := range m.announcedExits {
		if x.Covers(m.target.Instance, m.target.Born) {
			latest = x.Exit
		}
	}
	if dir.ExitAt(m.cfg.Self) == latest {
		return nil
	}
	return []directory.Entry{latest.PutEntry()}
}

// exitEnded reports whether the directory has the exit of a target that accepts no more
// connections, so that this daemon's next process cannot send it anything.
func (m *Mesh) exitEnded(ctx context.Context) bool {
	m.mu.Lock()
	exit := m.dir.ExitAt(m.cfg.Self)
	m.mu.Unlock()
	return exit.Instance != "" && m.targetClient.RefusesConnections(ctx)
}

// forgetExits drops the announced exits of processes that started before born. The caller
// holds the mutex.
func (m *Mesh) forgetExits(born int64) {
	m.announcedExits = slices.DeleteFunc(m.announcedExits, func(x announcedExit) bool { return x.Born < born })
}
