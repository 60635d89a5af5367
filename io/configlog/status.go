package configlog

import (
	"context"
	"expvar"
	"fmt"
	"sort"
	"time"

	"nutmegnotch/core/config"
)

var metrics = expvar.NewMap("configuration")

// PeerStatus is the newest reported position of one peer.
type PeerStatus struct {
	ID          string `json:"id"`
	Role        string `json:"role"`
	NextOffset  int64  `json:"next_offset"`
	ReportAgeMS int64  `json:"heard_age_ms"`
	Confirmed   bool   `json:"confirmed"`
	Established bool   `json:"established"`
}

// Status is the state of the follower for operators. ConfirmedAgeMS is -1 if the
// configuration was never confirmed.
type Status struct {
	NextOffset     int64        `json:"next_offset"`
	StateHash      string       `json:"state_hash"`
	Confirmed      bool         `json:"confirmed"`
	ConfirmedAgeMS int64        `json:"confirmed_age_ms"`
	LogReadable    bool         `json:"log_readable"`
	EntrySet       []string     `json:"entry_set"`
	Peers          []PeerStatus `json:"peers"`
}

// Status returns the state of the follower.
func (f *Follower) Status(ctx context.Context) Status {
	now := time.Now()
	v := f.view.Load()
	s := Status{
		NextOffset:     v.cfg.NextOffset,
		StateHash:      fmt.Sprintf("%016x", v.cfg.StateHash),
		Confirmed:      config.Fresh(v.confirmedAt, now),
		ConfirmedAgeMS: -1,
		EntrySet:       []string{},
		Peers:          []PeerStatus{},
	}
	if !v.confirmedAt.IsZero() {
		s.ConfirmedAgeMS = now.Sub(v.confirmedAt).Milliseconds()
	}
	for _, e := range v.cfg.EntrySet.Entries {
		s.EntrySet = append(s.EntrySet, e.ID)
	}
	f.do(ctx, func(t *task) {
		s.LogReadable = t.reader.readable
		for id, p := range t.exchange.peers {
			if p.position.At.IsZero() {
				continue
			}
			s.Peers = append(s.Peers, PeerStatus{ID: id, Role: p.role, NextOffset: p.position.NextOffset,
				ReportAgeMS: now.Sub(p.position.At).Milliseconds(), Confirmed: p.position.Confirmed, Established: p.position.Established})
		}
	})
	sort.Slice(s.Peers, func(i, j int) bool { return s.Peers[i].ID < s.Peers[j].ID })
	return s
}
