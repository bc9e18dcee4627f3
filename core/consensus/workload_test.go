package consensus

import (
	"fmt"

	"github.com/anishathalye/porcupine"
)

// operation is a client call: an addition that returns the new value, or a read.
type operation struct {
	key         int
	add, result uint64
	index, term uint64 // of the proposal
	call, end   int64  // end is 0 while the result is unknown
	dropped     bool   // set for a read that got no reply
}

func (s *sim) tick() int64 {
	s.clock++
	return s.clock
}

func (s *sim) finish(o *operation) {
	if o.end == 0 {
		o.end = s.tick()
	}
}

// proposeBackground proposes entries on a leader without a waiting client, some larger than MaxAppendBytes.
func (s *sim) proposeBackground() {
	leaders := s.leaders()
	if len(leaders) == 0 {
		return
	}
	m := leaders[s.random.IntN(len(leaders))]
	for range 1 + s.random.IntN(6) {
		m.node.Propose(append([]byte{simKeys, 1}, make([]byte, s.random.IntN(300))...))
		s.check(m)
	}
}

// startClientOperation starts an operation on a random member with the role of leader.
func (s *sim) startClientOperation() {
	leaders, open := s.leaders(), 0
	for _, o := range s.history {
		if o.end == 0 && !o.dropped {
			open++
		}
	}
	// A larger number of open operations makes the linearizability check too slow.
	if len(leaders) == 0 || len(s.history) >= 150 || open >= 12 {
		return
	}
	m := leaders[s.random.IntN(len(leaders))]
	o := &operation{key: s.random.IntN(simKeys), call: s.tick()}
	if s.chance(0.5) {
		o.add = 1 + s.random.Uint64N(200)
		data := []byte{byte(o.key), byte(o.add)}
		var err error
		if o.index, o.term, err = m.node.Propose(data); err != nil {
			return
		}
		m.proposals = append(m.proposals, o)
	} else {
		number := uint64(len(s.history) + 1)
		if err := m.node.ReadIndex(number); err != nil {
			s.fail("ReadIndex on leader %d: %v", m.id, err)
		}
		m.reads[number] = o
	}
	s.history = append(s.history, o)
	s.check(m)
}

type registerInput struct {
	key     int
	add     uint64
	unknown bool
}

func (s *sim) checkHistory() error {
	model := porcupine.Model{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			parts := make([][]porcupine.Operation, simKeys)
			for _, o := range history {
				key := o.Input.(registerInput).key
				parts[key] = append(parts[key], o)
			}
			return parts
		},
		Init: func() any { return uint64(0) },
		Step: func(state, input, output any) (bool, any) {
			in := input.(registerInput)
			next := state.(uint64) + in.add
			return in.unknown || output.(uint64) == next, next
		},
	}
	var history []porcupine.Operation
	for i, o := range s.history {
		// An addition without a reply may take effect at any later time; a read without a reply constrains nothing.
		if o.dropped || o.add == 0 && o.end == 0 {
			continue
		}
		entry := porcupine.Operation{
			ClientId: i, Input: registerInput{o.key, o.add, o.end == 0}, Output: o.result, Call: o.call, Return: o.end,
		}
		if o.end == 0 {
			entry.Return = s.clock + 1
		}
		history = append(history, entry)
	}
	if !porcupine.CheckOperations(model, history) {
		return fmt.Errorf("the history of %d operations is not linearizable", len(history))
	}
	return nil
}
