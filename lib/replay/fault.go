package replay

// injectFault starts the fault of the record and schedules its end.
func (s *sim) injectFault(r *Record) {
	switch r.Fault {
	case FaultTargetDown:
		e := s.engineByID[r.Target]
		s.crashTarget(e)
		s.scheduleFaultEnd(r, func() { s.restartTarget(e) })
	case FaultTargetUnresponsive:
		e := s.engineByID[r.Target]
		e.unresponsive = true
		s.scheduleFaultEnd(r, func() { e.unresponsive = false })
	case FaultZoneDown:
		s.failZone(r)
	case FaultKVDown:
		s.kvOutages++
		s.scheduleFaultEnd(r, func() { s.kvOutages-- })
	case FaultOrderLost:
		s.controller.ordersToLose[r.Target]++
	case FaultOrderLate:
		s.controller.nextOrderDelay[r.Target] = millis(r.DurationMS)
	case FaultHostIsolated:
		h := s.hostByID(r.Host)
		h.startIsolation(s.clock.now)
		s.scheduleFaultEnd(r, func() { h.endIsolation() })
	}
}

// scheduleFaultEnd schedules fn for the end of the fault. A fault without a duration does not end.
func (s *sim) scheduleFaultEnd(r *Record, fn func()) {
	if r.DurationMS > 0 {
		s.clock.scheduleAfter(millis(r.DurationMS), fn)
	}
}

// failZone crashes every running target and entry host of the record's zone.
func (s *sim) failZone(r *Record) {
	for _, e := range s.engines {
		if e.spec.Zone == r.Zone && !e.down {
			s.crashTarget(e)
			s.scheduleFaultEnd(r, func() { s.restartTarget(e) })
		}
	}
	for _, h := range s.hosts {
		if h.spec.Zone == r.Zone && !h.down {
			h.crash()
			s.scheduleFaultEnd(r, func() { h.restart() })
		}
	}
}

func (s *sim) crashTarget(e *fakeEngine) {
	s.controller.onTargetCrash(e)
	e.crash()
}

func (s *sim) restartTarget(e *fakeEngine) { e.down = false }

func (s *sim) hostByID(id string) *entryHost {
	for _, h := range s.hosts {
		if h.spec.ID == id {
			return h
		}
	}
	return nil
}
