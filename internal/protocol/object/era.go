package object

import (
	"sync/atomic"

	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/pkg/schema"
)

// eras tracks the era of the store. The versions of an era have it in their high bits.
//
// A store whose header is absent, 0 or 1 has had no drill as far as a new client can
// tell, so its versions equal its revisions: older daemons understand them. Headers from
// 2 on are eras as they are. A header of 1 is era 1 only if the store had none before, as
// this client saw or as a version from a peer shows.
type eras struct {
	// newest is the newest known era, and headers one more than the highest header
	// seen, zero if none was.
	newest  atomic.Uint32
	headers atomic.Uint32
}

// raise sets x to v if that is higher, and returns the value before.
func raise(x *atomic.Uint32, v uint32) uint32 {
	for {
		old := x.Load()
		if v <= old || x.CompareAndSwap(old, v) {
			return old
		}
	}
}

// observe records the header of an answer and returns the answer's era. It reports false
// if the answer is of an older era than one that is known. Without a header, the answer is
// of the first era.
func (e *eras) observe(header uint16, stated bool) (uint16, bool) {
	if !stated {
		return 0, e.newest.Load() == 0
	}
	era := uint32(header)
	before := raise(&e.headers, era+1)
	if header == 1 && e.newest.Load() == 0 && before != 1 {
		era = 0
	}
	newest := raise(&e.newest, era)
	return uint16(era), era >= newest
}

// Era returns the newest known era of the store.
func (c *Client) Era() uint16 { return uint16(c.eras.newest.Load()) }

// SeeEra records an era that a peer's version shows. Answers of older eras are discarded
// from then on.
func (c *Client) SeeEra(era uint16) { raise(&c.eras.newest, uint32(era)) }

// inEra returns a version that the store stated as a revision of an era.
func inEra(era uint16, v schema.Version) schema.Version {
	if v == 0 {
		return 0
	}
	return schema.NewVersion(era, v.Revision())
}

// setEra sets the era of all versions in an update that the store's revisions gave.
func setEra(u *fleet.Update, era uint16) {
	u.Rev, u.Proved = inEra(era, u.Rev), inEra(era, u.Proved)
	for i := range u.Targets {
		u.Targets[i].Rev = inEra(era, u.Targets[i].Rev)
	}
	if u.Table != nil {
		u.Table.Rev = inEra(era, u.Table.Rev)
	}
	for i := range u.Outs {
		u.Outs[i].Rev = inEra(era, u.Outs[i].Rev)
	}
	for _, list := range [][]fleet.Removal{u.Gone, u.Unreadable} {
		for i := range list {
			list[i].Rev = inEra(era, list[i].Rev)
		}
	}
}
