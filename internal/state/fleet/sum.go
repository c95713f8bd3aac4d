package fleet

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"coltsfootdock/pkg/schema"
)

// Sum identifies the objects of a topic that a replica holds, by their names and
// revisions. Replicas that are complete up to the same revision have the same sum;
// zero stands for no objects.
type Sum uint64

// objectSum returns the part of a Sum that one object contributes.
func objectSum(name string, rev schema.Version) Sum {
	buf := make([]byte, 0, 64)
	buf = binary.LittleEndian.AppendUint64(buf, uint64(rev))
	return Sum(xxhash.Sum64(append(buf, name...)))
}

// Sum returns the sum of a topic's objects. Removed ones don't count.
func (r *Replica) Sum(t Topic) Sum {
	if !r.summed[t] {
		r.sums[t], r.summed[t] = r.computeSum(t), true
	}
	return r.sums[t]
}

// Sums returns the sums of all topics.
func (r *Replica) Sums() [Topics]Sum {
	var sums [Topics]Sum
	for t := range Topics {
		sums[t] = r.Sum(t)
	}
	return sums
}

func (r *Replica) computeSum(t Topic) Sum {
	sum := Sum(0)
	switch t {
	case Targets:
		for id, e := range r.targets {
			switch {
			case e.Gone:
			case e.kept.era != 0:
				sum ^= objectSum(string(id), ^e.Rev) // unlike that of a peer that does not keep it
			default:
				sum ^= objectSum(string(id), e.Rev)
			}
		}
	case Config:
		if r.table != nil {
			sum = objectSum("", r.table.Rev)
		}
	case Outs:
		for dc, m := range r.outs {
			if m.out {
				sum ^= objectSum(string(dc), m.rev)
			}
		}
	}
	return sum
}
