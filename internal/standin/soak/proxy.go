package soak

import (
	"net"
	"net/http"
	"sync/atomic"
)

// storeMode is how a store proxy handles calls.
type storeMode int32

const (
	storeServes storeMode = iota
	storeRefuses
	storeHangs
	storeResets
)

// storeProxy is one daemon's endpoint of the store, which can fail for this daemon
// alone.
type storeProxy struct {
	listener net.Listener
	mode     atomic.Int32
}

func (p *storeProxy) setMode(mode storeMode) { p.mode.Store(int32(mode)) }

// forward reports whether a call is to be passed on to the store. Otherwise it
// has handled the call as the mode says.
func (p *storeProxy) forward(w http.ResponseWriter, r *http.Request) bool {
	switch storeMode(p.mode.Load()) {
	case storeRefuses:
		http.Error(w, "turned away", http.StatusServiceUnavailable)
	case storeHangs:
		<-r.Context().Done()
	case storeResets:
		panic(http.ErrAbortHandler) // makes the server close the connection without an answer
	default:
		return true
	}
	return false
}
