package fleet

import (
	"container/heap"

	"siskinknot/core/record"
)

// spread gives units to the members of svc that have the fewest slots. It
// depends on nothing but the state, so that every daemon spreads alike. Units
// stay without an owner if nobody can take them.
func (s *State) spread(svc *Service, units []record.Unit, offset uint64, cause Cause) {
	takers := s.takers(svc)
	for _, unit := range units {
		if len(takers) == 0 {
			svc.give(unit, Owner{})
			continue
		}
		svc.give(unit, Owner{ID: takers[0].id, Token: offset, Cause: cause})
		takers[0].count++
		heap.Fix(&takers, 0)
	}
}

// give makes owner the owner of a slot or of a carved key.
func (s *Service) give(unit record.Unit, owner Owner) {
	if unit.Key == "" {
		s.setSlot(unit.Slot, owner)
		return
	}
	s.setCarved(unit.Key, owner)
}

// takers returns the members that may receive units of svc, as a heap.
func (s *State) takers(svc *Service) takerHeap {
	var takers takerHeap
	for _, m := range s.members {
		if m.Service != svc.Name || m.Leaving || m.Succeeded || m.Epoch == 0 || m.Accused != 0 {
			continue
		}
		takers = append(takers, taker{id: m.ID, since: m.Since, count: svc.counts[m.ID]})
	}
	heap.Init(&takers)
	return takers
}

// taker is a member with its number of slots.
type taker struct {
	id    record.Incarnation
	since uint64
	count int
}

// takerHeap orders takers by count, then by announcement.
type takerHeap []taker

// Len implements heap.Interface.
func (h takerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h takerHeap) Less(i, j int) bool {
	if h[i].count != h[j].count {
		return h[i].count < h[j].count
	}
	return h[i].since < h[j].since
}

// Swap implements heap.Interface.
func (h takerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *takerHeap) Push(x any) { *h = append(*h, x.(taker)) }

// Pop implements heap.Interface.
func (h *takerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
