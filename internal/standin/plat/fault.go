package plat

import (
	"encoding/json"
	"net/http"
	"time"

	"golang.org/x/time/rate"
)

// Fault describes the injected faults.
type Fault struct {
	// Down refuses all calls.
	Down bool
	// Silent accepts calls without ever answering them.
	Silent bool
	// DelayMilliseconds delays every call.
	DelayMilliseconds int
	// LoseAnswers is the number of next writes that are executed but not answered.
	LoseAnswers int
	// ReadsPerSecond and WritesPerSecond limit the rate of calls; zero means no
	// limit.
	ReadsPerSecond  float64
	WritesPerSecond float64
}

// SetFault replaces the faults.
func (p *Platform) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	p.reads, p.writes = nil, nil
	if f.ReadsPerSecond > 0 {
		p.reads = rate.NewLimiter(rate.Limit(f.ReadsPerSecond), int(f.ReadsPerSecond)+1)
	}
	if f.WritesPerSecond > 0 {
		p.writes = rate.NewLimiter(rate.Limit(f.WritesPerSecond), int(f.WritesPerSecond)+1)
	}
}

func (p *Platform) setFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFault(f)
	writeJSON(w, http.StatusOK, f)
}

// admit counts a call and applies the faults that precede its execution. It
// reports whether the call may go on.
func (p *Platform) admit(r *http.Request) bool {
	p.mu.Lock()
	f := p.fault
	limit := p.reads
	if r.Method != http.MethodGet {
		limit = p.writes
	}
	ok := !f.Down && (limit == nil || limit.Allow())
	if !ok {
		p.calls.Refused++
	} else if r.Method == http.MethodGet {
		p.calls.Reads++
	} else {
		p.calls.Writes++
	}
	p.mu.Unlock()
	if f.Silent {
		<-r.Context().Done()
	}
	time.Sleep(time.Duration(f.DelayMilliseconds) * time.Millisecond)
	return ok
}
