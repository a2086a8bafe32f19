package mesh

import (
	"net/netip"
	"sync"
	"time"

	"siskinknot/core/request"
)

// noticeTable holds the latest notice of each other daemon's target, as this daemon has
// forwarded it in an answer. It is safe for concurrent use.
type noticeTable struct {
	mu      sync.Mutex
	notices map[netip.AddrPort]peerNotice
}

// peerNotice is a notice, with when the first one was received that says that the
// target leaves.
type peerNotice struct {
	request.TargetNotice
	leavingSince time.Time
}

// newNoticeTable returns an empty noticeTable.
func newNoticeTable() *noticeTable { return &noticeTable{notices: map[netip.AddrPort]peerNotice{}} }

// record records the notice of an answer that arrived at now from the daemon at addr, or
// that the answer had none if notice is nil.
func (t *noticeTable) record(now time.Time, addr netip.AddrPort, notice *request.TargetNotice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.notices[addr]
	switch {
	case notice == nil && known && !old.Leaving:
		delete(t.notices, addr)
	case notice == nil:
	default:
		latest := peerNotice{TargetNotice: *notice}
		if known && old.Leaving && old.Instance == notice.Instance {
			latest.Leaving, latest.leavingSince = true, old.leavingSince
		} else if notice.Leaving {
			latest.leavingSince = now
		}
		t.notices[addr] = latest
	}
}

// get returns the notice to send to the daemon at addr at now, or nil if there is none.
func (t *noticeTable) get(now time.Time, addr netip.AddrPort) *request.TargetNotice {
	t.mu.Lock()
	defer t.mu.Unlock()
	latest, known := t.notices[addr]
	if !known {
		return nil
	}
	notice := latest.TargetNotice
	if notice.Leaving {
		notice.LeavingFor = now.Sub(latest.leavingSince)
	}
	return &notice
}
