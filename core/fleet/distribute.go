package fleet

import (
	"container/heap"

	"siskinknot/core/record"
)

// distribute gives each of units to the member of svc that has the fewest slots at
// that point; a carved key given out by this call counts as a slot. The result
// depends on the state alone, so every daemon computes the same one. If no member
// can receive units, the units have no owner afterwards.
func (s *State) distribute(svc *Service, units []record.Unit, offset uint64, cause Cause) {
	receivers := s.receivers(svc)
	for _, unit := range units {
		if len(receivers) == 0 {
			svc.setOwner(unit, Owner{})
			continue
		}
		svc.setOwner(unit, Owner{ID: receivers[0].id, Token: offset, Cause: cause})
		receivers[0].count++
		heap.Fix(&receivers, 0)
	}
}

// setOwner makes owner the owner of a slot or of a carved key.
func (s *Service) setOwner(unit record.Unit, owner Owner) {
	if unit.Key == "" {
		s.setSlot(unit.Slot, owner)
		return
	}
	s.setCarved(unit.Key, owner)
}

// receivers returns the members that may receive units of svc, as a heap.
func (s *State) receivers(svc *Service) receiverHeap {
	var receivers receiverHeap
	for _, m := range s.members {
		if m.Service != svc.Name || m.Leaving || m.Succeeded || m.Epoch == 0 || m.Accused != 0 {
			continue
		}
		receivers = append(receivers, receiver{id: m.ID, announceOffset: m.AnnounceOffset, count: svc.slotCounts[m.ID]})
	}
	heap.Init(&receivers)
	return receivers
}

// receiver is a member that may receive units.
type receiver struct {
	id             record.Incarnation
	announceOffset uint64
	// count is the number of slots that the member owns, plus the carved keys that
	// the current call of distribute gave it.
	count int
}

// receiverHeap is a min-heap of receivers, ordered by count and then by the offset
// of their announcement.
type receiverHeap []receiver

// Len implements heap.Interface.
func (h receiverHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h receiverHeap) Less(i, j int) bool {
	if h[i].count != h[j].count {
		return h[i].count < h[j].count
	}
	return h[i].announceOffset < h[j].announceOffset
}

// Swap implements heap.Interface.
func (h receiverHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *receiverHeap) Push(x any) { *h = append(*h, x.(receiver)) }

// Pop implements heap.Interface.
func (h *receiverHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
