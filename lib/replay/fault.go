package replay

// fault begins a timed fault and schedules its end.
func (s *sim) fault(r *Record) {
	switch r.Fault {
	case FaultTargetDown:
		e := s.byID[r.Target]
		s.kill(e)
		s.ends(r, func() { s.revive(e) })
	case FaultTargetSilent:
		e := s.byID[r.Target]
		e.silent = true
		s.ends(r, func() { e.silent = false })
	case FaultZoneDown:
		s.zone(r)
	case FaultKVDown:
		s.kvDown++
		s.ends(r, func() { s.kvDown-- })
	case FaultOrderLost:
		s.place.loseNext[r.Target]++
	case FaultOrderLate:
		s.place.delayNext[r.Target] = millis(r.DurationMS)
	case FaultHostCut:
		h := s.hostByID(r.Host)
		h.cutAt(s.clk.now)
		s.ends(r, func() { h.cutEnds() })
	}
}

// ends schedules the end of a fault that has one.
func (s *sim) ends(r *Record, fn func()) {
	if r.DurationMS > 0 {
		s.clk.after(millis(r.DurationMS), fn)
	}
}

func (s *sim) zone(r *Record) {
	for _, e := range s.engines {
		if e.spec.Zone == r.Zone && !e.down {
			s.kill(e)
			s.ends(r, func() { s.revive(e) })
		}
	}
	for _, h := range s.hosts {
		if h.spec.Zone == r.Zone && !h.down {
			h.die()
			s.ends(r, func() { h.revive() })
		}
	}
}

func (s *sim) kill(e *fakeEngine) {
	s.place.lost(e)
	e.die()
}

func (s *sim) revive(e *fakeEngine) { e.down = false }

func (s *sim) hostByID(id string) *entryHost {
	for _, h := range s.hosts {
		if h.spec.ID == id {
			return h
		}
	}
	return nil
}
