package demand

import (
	"context"
	"testing"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/peer"
)

// fakeView has two controllers and another gateway as members.
type fakeView struct{ confview.View }

func (fakeView) Self() string { return "g1" }
func (fakeView) Members() []confview.Member {
	return []confview.Member{{ID: "c1", Role: RoleController}, {ID: "c2", Role: RoleController}, {ID: "g2", Role: "gateway"}}
}

// fakePeers answers as the active controller; the other one is unreachable.
type fakePeers struct {
	active string
	calls  []string
	got    *Report
}

func (p *fakePeers) Call(_ context.Context, member, _ string, args, reply any) error {
	p.calls = append(p.calls, member)
	if member != p.active {
		return peer.ErrUnreachable
	}
	p.got = args.(*Report)
	reply.(*Reply).Active = true
	return nil
}

// Guards against a sender that does not find the active controller or asks the others again, and against requests that
// are counted in two reports.
func TestSenderFindsActiveController(t *testing.T) {
	p := &fakePeers{active: "c2"}
	s := NewSender(fakeView{}, p, "boot", func() map[string]int { return map[string]int{"m": 3, "idle": 1} })
	s.Observe("m", "a", 10, 20)
	s.send(t.Context(), s.nextReport())
	if len(p.calls) != 2 || len(p.got.Models) != 3 {
		t.Fatalf("first report: calls to %v, want c1 and c2; report %+v, want 3 models", p.calls, p.got)
	}
	p.calls = nil
	s.send(t.Context(), s.nextReport())
	if len(p.calls) != 1 || p.got.Seq != 2 {
		t.Fatalf("second report: calls to %v, want c2 only; report %+v, want Seq 2", p.calls, p.got)
	}
	for _, m := range p.got.Models {
		if m.Requests != 0 || m.Queue == 0 {
			t.Fatalf("second report has requests of the first, or no queue length: %+v", m)
		}
	}
}
