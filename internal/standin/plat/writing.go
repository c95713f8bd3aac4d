package plat

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"coltsfootdock/pkg/schema"
	"coltsfootdock/platform"
)

// WriteFault is what becomes of writes while reads work.
type WriteFault uint8

// The faults of writes.
const (
	// WritesServed is no fault.
	WritesServed WriteFault = iota
	// WritesRefused does nothing and answers so.
	WritesRefused
	// WritesSilent does nothing and does not answer.
	WritesSilent
	// WritesLate executes writes minLateness to maxLateness after they were sent, if
	// their condition still holds, and does not answer.
	WritesLate
	// WritesUnanswered executes writes and does not answer.
	WritesUnanswered
	// WriteFaults is the number of faults of writes.
	WriteFaults
)

var writeFaultNames = [WriteFaults]string{"served", "refused", "silent", "late", "unanswered"}

// String implements fmt.Stringer.
func (f WriteFault) String() string { return writeFaultNames[f] }

// Bounds of how late a late write is executed.
const (
	minLateness = time.Second
	maxLateness = 6 * time.Second
)

// SetWriteFault sets what becomes of a share of the writes, from 0 to 1. The seed
// selects the writes and how late they are executed.
func (p *Platform) SetWriteFault(f WriteFault, share float64, seed uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writeFault, p.writeShare, p.chance = f, share, rand.New(rand.NewPCG(seed, seed))
}

// drawWriteFault returns what becomes of the next write and how late it is if it is
// late. The caller holds the lock.
func (p *Platform) drawWriteFault() (WriteFault, time.Duration) {
	if p.writeFault == WritesServed || p.chance.Float64() >= p.writeShare {
		return WritesServed, 0
	}
	return p.writeFault, minLateness + time.Duration(p.chance.Int64N(int64(maxLateness-minLateness)))
}

// Write writes an object as a writer on another machine does: faults of writes apply.
// It reports whether the write was acknowledged. A late write is executed if the
// object is then as it was when the write was sent.
func (p *Platform) Write(kind, name string, spec any) bool {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err) // specs of the stand-ins are always encodable
	}
	k, o := key{kind, name}, platform.Object{Meta: platform.Meta{Name: name}, Spec: data}
	p.mu.Lock()
	defer p.mu.Unlock()
	f, lateness := p.drawWriteFault()
	switch f {
	case WritesServed, WritesUnanswered:
		p.put(k, o)
	case WritesLate:
		sent := p.objects[k].Meta.Rev
		time.AfterFunc(lateness, func() { p.putIf(k, o, sent) })
	}
	return f == WritesServed
}

// putIf stores an object if it has a revision, zero if it does not exist.
func (p *Platform) putIf(k key, o platform.Object, rev schema.Version) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.objects[k].Meta.Rev == rev {
		p.put(k, o)
	}
}

// write makes one change under the lock and answers the request, unless a fault of
// writes or the LoseAnswers fault applies. The function f reports false on a conflict.
func (p *Platform) write(w http.ResponseWriter, f func() (platform.Object, bool)) {
	p.mu.Lock()
	fault, lateness := p.drawWriteFault()
	p.mu.Unlock()
	switch fault {
	case WritesRefused:
		http.Error(w, "the platform takes no writes", http.StatusServiceUnavailable)
		return
	case WritesSilent:
		panic(http.ErrAbortHandler) // closes the connection without an answer
	case WritesLate:
		time.Sleep(lateness)
	}
	p.mu.Lock()
	o, ok := f()
	lost := fault != WritesServed
	if ok && !lost && p.fault.LoseAnswers > 0 {
		lost = true
		p.fault.LoseAnswers--
	}
	p.mu.Unlock()
	switch {
	case lost:
		panic(http.ErrAbortHandler)
	case !ok:
		writeJSON(w, http.StatusConflict, o)
	default:
		writeJSON(w, http.StatusOK, o)
	}
}
