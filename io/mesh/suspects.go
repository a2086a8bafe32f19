package mesh

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"siskinknot/core/outcome"
	"siskinknot/core/quarantine"
	"siskinknot/io/boottime"
	"siskinknot/io/peer"
	"siskinknot/io/peer/peerpb"
)

const (
	// trialRetryAfter is when a request may be sent again whose like is running as a
	// trial: about the duration of a request.
	trialRetryAfter = 100 * time.Millisecond
	// suspectsExchangeInterval is the shortest time between two exchanges of the whole
	// list of suspects that this daemon starts.
	suspectsExchangeInterval = 2 * time.Second
)

// quarantineRefusal returns why the request of c may not be sent to a target since it may
// crash it, or nil. It records in c whether the request is on trial.
func (m *Mesh) quarantineRefusal(ctx context.Context, c *call) outcome.Result {
	known, err := m.fingerprintSuspect(ctx, c)
	if err != nil {
		return outcome.NotRun{Reason: outcome.Cancelled}
	}
	c.onTrial = false
	if !known {
		return nil
	}
	now := boottime.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	switch v := m.suspects.Verdict(now, c.fingerprint).(type) {
	case quarantine.Clear:
		return nil
	case quarantine.Quarantined:
		return outcome.NotRun{Reason: outcome.Quarantined, RetryAfter: v.Until.Sub(now)}
	case quarantine.Trial:
		c.onTrial = true
		return nil
	default:
		panic(fmt.Sprintf("unexpected quarantine.Verdict %T", v))
	}
}

// fingerprintSuspect sets the fingerprint of c if it may be one of a suspect, and reports
// whether it may. The error is set if the start of the body does not arrive.
func (m *Mesh) fingerprintSuspect(ctx context.Context, c *call) (bool, error) {
	if !m.hasSuspects() {
		return false, nil
	}
	if c.headHash == 0 {
		c.headHash = quarantine.HashHead(c.head)
	}
	m.mu.Lock()
	known := m.suspects.HasHead(c.headHash)
	m.mu.Unlock()
	if !known || c.fingerprint.Head == c.headHash {
		return known, nil
	}
	prefix, err := c.req.Body.peek(ctx)
	c.fingerprint = quarantine.Fingerprint{Head: c.headHash, Body: quarantine.HashBody(prefix)}
	return true, err
}

// hasSuspects reports whether any request is known as a suspect.
func (m *Mesh) hasSuspects() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.suspects.Len() > 0
}

// peek returns the start of the body without consuming it.
func (b *Body) peek(ctx context.Context) ([]byte, error) {
	if b.Data != nil {
		return b.Data[:min(len(b.Data), quarantine.MaxBodyPrefix)], nil
	}
	stop := context.AfterFunc(ctx, b.Abort)
	defer stop()
	in := bufio.NewReaderSize(b.Stream, quarantine.MaxBodyPrefix)
	b.Stream = in
	prefix, err := in.Peek(quarantine.MaxBodyPrefix)
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return prefix, err
}

// trialTarget returns the target of a shared service at which a request with the given
// fingerprint is tried, or none if there are no candidates. All daemons choose the same one
// of the same targets, so that not more than one trial runs at a time.
func trialTarget(candidates []netip.AddrPort, f quarantine.Fingerprint) []netip.AddrPort {
	if len(candidates) == 0 {
		return nil
	}
	score := func(addr netip.AddrPort) uint64 { return xxhash.Sum64String(f.String() + addr.String()) }
	return []netip.AddrPort{slices.MaxFunc(candidates, func(a, b netip.AddrPort) int { return cmp.Compare(score(a), score(b)) })}
}

// admitSuspect returns why r may not be sent to the target since it may crash it, or nil.
// It records in r whether the run is a trial. The caller holds the mutex.
func (m *Mesh) admitSuspect(now time.Time, r *run) outcome.Result {
	switch v := m.suspects.Verdict(now, r.fingerprint).(type) {
	case quarantine.Clear:
		return nil
	case quarantine.Quarantined:
		return outcome.NotRun{Reason: outcome.Quarantined, RetryAfter: v.Until.Sub(now)}
	case quarantine.Trial:
		if !m.suspects.BeginTrial(r.fingerprint) {
			return outcome.NotRun{Reason: outcome.OnTrial, RetryAfter: trialRetryAfter}
		}
		r.onTrial = true
		return nil
	default:
		panic(fmt.Sprintf("unexpected quarantine.Verdict %T", v))
	}
}

// recordCrash records that the target's current process ended at now, unexpectedly, while
// it was running runs. The caller holds the mutex.
func (m *Mesh) recordCrash(now time.Time, runs []*run) {
	list := make([]quarantine.Run, 0, len(runs))
	for _, r := range runs {
		list = append(list, quarantine.Run{
			Fingerprint: r.fingerprint, OnTrial: r.onTrial, CompletedBefore: m.completions.Contains(r.fingerprint),
		})
	}
	m.publishSuspects(m.suspects.RecordCrash(now, quarantine.NewCrashID(m.target.Instance, m.target.Born), list))
	for _, r := range runs {
		if v, ok := m.suspects.Verdict(now, r.fingerprint).(quarantine.Quarantined); ok {
			r.crashed = true
			m.log.Warn("request quarantined", "request", r.head.ID, "fingerprint", r.fingerprint.String(), "instance", m.target.Instance,
				"route", r.head.Route, "path", r.head.Path, "caller", r.head.Caller, "on_trial", r.onTrial, "for_ms", v.Until.Sub(now).Milliseconds())
		}
	}
}

// recordCompletion records that the target has completed r. The caller holds the mutex.
func (m *Mesh) recordCompletion(r *run) {
	m.completions.Add(r.fingerprint)
	if suspect, wasActive := m.suspects.RecordCompletion(r.fingerprint); wasActive {
		m.log.Info("request cleared", "request", r.head.ID, "fingerprint", r.fingerprint.String(), "on_trial", r.onTrial)
		m.publishSuspects([]quarantine.Suspect{suspect})
	}
}

// publishSuspects sends suspects to all other members. A member that is not reached gets
// them when it exchanges its list with another one. The caller holds the mutex.
func (m *Mesh) publishSuspects(suspects []quarantine.Suspect) {
	if len(suspects) == 0 {
		return
	}
	msg := &peerpb.Suspects{List: suspectsToProto(boottime.Now(), suspects)}
	for _, member := range m.dir.Members() {
		if member.Address != m.cfg.Self {
			go m.sendSuspects(member.Address, msg)
		}
	}
}

// sendSuspects sends suspects to the daemon at addr, and adds those that it answers with.
func (m *Mesh) sendSuspects(addr netip.AddrPort, msg *peerpb.Suspects) {
	ctx, cancel := m.withTimeout(peerTimeout)
	defer cancel()
	reply, err := m.pool.CallWithPurpose(ctx, addr, peer.Requests, &peerpb.Call{Kind: &peerpb.Call_Suspects{Suspects: msg}})
	if err == nil && reply.Suspects != nil {
		m.mergeSuspects(reply.Suspects)
	}
}

// handleSuspects adds the suspects that another daemon announces, and answers with all of
// this daemon's if it asks for them.
func (m *Mesh) handleSuspects(msg *peerpb.Suspects) *peerpb.Reply {
	reply := &peerpb.Reply{}
	if msg.Exchange {
		m.mu.Lock()
		reply.Suspects = &peerpb.Suspects{List: suspectsToProto(boottime.Now(), m.suspects.Suspects())}
		m.mu.Unlock()
	}
	m.mergeSuspects(msg)
	return reply
}

// mergeSuspects adds the suspects in msg.
func (m *Mesh) mergeSuspects(msg *peerpb.Suspects) {
	now := boottime.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.suspects.Merge(now, suspectsFromProto(now, msg.List)) {
		m.log.Info("suspects received", "received", len(msg.List), "known", m.suspects.Len(), "quarantined", m.suspects.Rejected(now))
	}
}

// compareSuspects exchanges the lists of suspects with the daemon at addr if that daemon's
// list has another digest than this one's.
func (m *Mesh) compareSuspects(now time.Time, addr netip.AddrPort, digest uint64) {
	m.mu.Lock()
	due := m.suspects.Digest() != digest && now.Sub(m.suspectsExchangedAt) >= suspectsExchangeInterval
	var all []*peerpb.Suspect
	if due {
		m.suspectsExchangedAt = now
		all = suspectsToProto(now, m.suspects.Suspects())
	}
	m.mu.Unlock()
	if due {
		m.sendSuspects(addr, &peerpb.Suspects{List: all, Exchange: true})
	}
}

// expireSuspects removes the suspects that are to be forgotten, and reports the others.
func (m *Mesh) expireSuspects(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.suspects.Expire(now)
	m.metrics.suspects.Update(float64(m.suspects.Len()))
	m.metrics.quarantined.Update(float64(m.suspects.Rejected(now)))
}

// suspectsToProto converts suspects to their messages. Times become ages at now.
func suspectsToProto(now time.Time, suspects []quarantine.Suspect) []*peerpb.Suspect {
	list := make([]*peerpb.Suspect, 0, len(suspects))
	for _, s := range suspects {
		msg := &peerpb.Suspect{Head: s.Fingerprint.Head, Body: s.Fingerprint.Body}
		for _, c := range s.Crashes {
			msg.Crashes = append(msg.Crashes, &peerpb.SuspectCrash{
				Id: uint64(c.ID), AgeMs: now.Sub(c.At).Milliseconds(), Weak: c.Weak, Cleared: c.Cleared,
			})
		}
		list = append(list, msg)
	}
	return list
}

// suspectsFromProto converts messages that arrived at now to suspects.
func suspectsFromProto(now time.Time, list []*peerpb.Suspect) []quarantine.Suspect {
	suspects := make([]quarantine.Suspect, 0, len(list))
	for _, msg := range list {
		s := quarantine.Suspect{Fingerprint: quarantine.Fingerprint{Head: msg.Head, Body: msg.Body}}
		for _, c := range msg.Crashes {
			s.Crashes = append(s.Crashes, quarantine.Crash{
				ID: quarantine.CrashID(c.Id), At: now.Add(-time.Duration(c.AgeMs) * time.Millisecond), Weak: c.Weak, Cleared: c.Cleared,
			})
		}
		suspects = append(suspects, s)
	}
	return suspects
}
