package demand

import (
	"context"
	"testing"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/peer"
)

type view struct{ confview.View }

func (view) Self() string { return "g1" }
func (view) Members() []confview.Member {
	return []confview.Member{{ID: "c1", Role: RoleController}, {ID: "c2", Role: RoleController}, {ID: "g2", Role: "gateway"}}
}

// peers answers as two controllers of which one is active.
type peers struct {
	active string
	calls  []string
	got    *Report
}

func (p *peers) Call(_ context.Context, member, _ string, args, reply any) error {
	p.calls = append(p.calls, member)
	if member != p.active {
		return peer.ErrUnreachable
	}
	p.got = args.(*Report)
	reply.(*Reply).Active = true
	return nil
}

// Guards against reports that miss the active controller after a change, and against requests counted twice.
func TestSenderFindsActiveController(t *testing.T) {
	p := &peers{active: "c2"}
	s := NewSender(view{}, p, "boot", func() map[string]int { return map[string]int{"m": 3, "idle": 1} })
	s.Observe("m", "a", 10, 20)
	s.send(t.Context(), s.take())
	if len(p.calls) != 2 || len(p.got.Models) != 3 {
		t.Fatalf("calls %v, report %+v", p.calls, p.got)
	}
	p.calls = nil
	s.send(t.Context(), s.take())
	if len(p.calls) != 1 || p.got.Seq != 2 {
		t.Fatalf("calls %v, report %+v", p.calls, p.got)
	}
	for _, m := range p.got.Models {
		if m.Requests != 0 || m.Queue == 0 {
			t.Fatalf("second report counts again: %+v", m)
		}
	}
}
