package manifest

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"cuminhook.org/cuminhook/lib/kv"
	"cuminhook.org/cuminhook/lib/kv/memkv"
	"cuminhook.org/cuminhook/lib/refusal"
	"cuminhook.org/cuminhook/lib/ticket"
)

// witnesses is an Announcer whose witnesses acknowledge after a delay.
type witnesses struct {
	acked int
	delay time.Duration
	seen  []Restriction
}

func (w *witnesses) Announce(_ context.Context, r Restriction, _ []string) (int, error) {
	time.Sleep(w.delay)
	w.seen = append(w.seen, r)
	return w.acked, nil
}

func orgTicket(number int64, name string, rate int64) *ticket.Ticket {
	return &ticket.Ticket{Number: number, Organisations: []ticket.Organisation{
		{Name: name, Rate: rate, Burst: 100, Weight: 1},
	}}
}

func hasReason(err error, want refusal.Reason) bool {
	r, ok := refusal.As(err)
	return ok && r.Reason == want
}

// Guards against a reader that misses tickets over chunk boundaries, loads them in another order than a
// reader that followed them one by one, or cannot serve another host.
func TestAcceptAndFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, store := t.Context(), memkv.New()
		w, follower := NewWriter(store, &witnesses{}, Config{}), NewReader()
		for i := int64(1); i <= 150; i++ {
			r, err := w.Accept(ctx, orgTicket(i, fmt.Sprintf("o%d", i%7), i))
			if err != nil || r.Repeated || r.Revision != i {
				t.Fatal(r, err)
			}
			if i%10 == 0 {
				if _, err := follower.Load(ctx, StoreSource{store}); err != nil {
					t.Fatal(err)
				}
			}
		}
		fresh, second := NewReader(), NewReader()
		a, err := fresh.Load(ctx, StoreSource{store})
		if err != nil || a.State.Accepted.Len() != 150 || len(a.Manifest.Chunks) != 2 {
			t.Fatal(a, err)
		}
		b, err := second.Load(ctx, follower)
		if err != nil || b.Manifest.Revision != 150 {
			t.Fatal(b, err)
		}
		x, _ := ticket.EncodeState(a.State)
		y, _ := ticket.EncodeState(b.State)
		if string(x) != string(y) {
			t.Fatal("states differ")
		}
	})
}

// Guards against a ticket that took effect being reported as refused, or accepted twice, when the answer to
// the CAS is lost.
func TestAcceptLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memkv.New()
		puts := 0
		store.SetInjector(func(op memkv.Op, key string) memkv.Fault {
			if op == memkv.OpPut && key == Key {
				puts++
				return memkv.Fault{LoseAnswer: puts == 1}
			}
			return memkv.Fault{}
		})
		w := NewWriter(store, &witnesses{}, Config{})
		r, err := w.Accept(t.Context(), orgTicket(1, "a", 1))
		if err != nil || r.Revision != 1 || r.Repeated || puts != 1 {
			t.Fatal(r, err, puts)
		}
		r, err = w.Accept(t.Context(), orgTicket(1, "a", 1))
		if err != nil || r.Revision != 1 || !r.Repeated {
			t.Fatal(r, err)
		}
	})
}

// Guards against a service that falls silent after a CAS being reported as a refusal.
func TestAcceptOutcomeUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memkv.New()
		sent := false
		store.SetInjector(func(op memkv.Op, key string) memkv.Fault {
			sent = sent || op == memkv.OpPut && key == Key
			return memkv.Fault{LoseAnswer: sent}
		})
		w := NewWriter(store, &witnesses{}, Config{})
		if _, err := w.Accept(t.Context(), orgTicket(1, "a", 1)); !hasReason(err, refusal.OutcomeUnknown) {
			t.Fatal(err)
		}
		store.SetInjector(nil)
		if r, err := w.Accept(t.Context(), orgTicket(1, "a", 1)); err != nil || !r.Repeated {
			t.Fatal(r, err)
		}
		store.SetFault(memkv.Fault{Unavailable: true})
		if _, err := w.Accept(t.Context(), orgTicket(2, "a", 1)); !hasReason(err, refusal.StoreUnavailable) {
			t.Fatal(err)
		}
	})
}

// Guards against a CAS without a majority of the witnesses, and against one that is sent long after the
// announcement because the writer was paused. The last part switches the clock check off and must be caught.
func TestAnnouncement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, store := t.Context(), memkv.New()
		ann := &witnesses{acked: 2}
		w := NewWriter(store, ann, Config{})
		for _, id := range []string{"a", "b", "c"} {
			_, err := w.Update(ctx, func(m *Manifest) (Restriction, error) {
				m.Witnesses = append(m.Witnesses, id)
				return Restriction{}, nil
			})
			if err != nil {
				t.Fatal(err)
			}
		}
		ann.acked = 1
		if _, err := w.Accept(ctx, orgTicket(1, "a", 5)); !hasReason(err, refusal.NoMajority) {
			t.Fatal(err)
		}
		ann.acked, ann.delay = 2, 3*time.Second
		if _, err := w.Accept(ctx, orgTicket(1, "a", 5)); err == nil {
			t.Fatal("a paused writer wrote")
		}
		w.config.SkipClockCheck = true
		if _, err := w.Accept(ctx, orgTicket(1, "a", 5)); err != nil {
			t.Fatal("the negative control did not write:", err)
		}
		w.config.SkipClockCheck, ann.delay = false, 0
		if _, err := w.Accept(ctx, orgTicket(2, "a", 3)); err != nil {
			t.Fatal(err)
		}
		last := ann.seen[len(ann.seen)-1]
		if last.Base != 4 || last.Rates["a"] != (Limit{3, 100}) {
			t.Fatalf("%+v", last)
		}
	})
}

// Guards against the loss of a majority of the witnesses blocking every write for good, and against a witness that is
// only silent counting as gone.
func TestGoneWitnessesDoNotBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ann := &witnesses{acked: 3}
		gone := map[string]bool{}
		w := NewWriter(memkv.New(), ann, Config{Gone: func(id string) bool { return gone[id] }})
		for _, id := range []string{"a", "b", "c"} {
			_, err := w.Update(t.Context(), func(m *Manifest) (Restriction, error) {
				m.Witnesses = append(m.Witnesses, id)
				return Restriction{}, nil
			})
			if err != nil {
				t.Fatal(err)
			}
		}
		ann.acked = 1
		gone["a"] = true
		if _, err := w.Accept(t.Context(), orgTicket(1, "a", 5)); err != nil {
			t.Errorf("one of three gone, one acknowledged: %v", err)
		}
		ann.acked = 0
		if _, err := w.Accept(t.Context(), orgTicket(2, "a", 5)); !hasReason(err, refusal.NoMajority) {
			t.Errorf("one of three gone, two silent: %v", err)
		}
		gone["b"] = true
		if _, err := w.Accept(t.Context(), orgTicket(2, "a", 5)); err != nil {
			t.Errorf("two of three gone: %v", err)
		}
	})
}

// Guards against two witnesses being changed in one write, after which two majorities need not meet.
func TestWitnessesChangeOneByOne(t *testing.T) {
	if checkWitnesses([]string{"a", "b", "c"}, []string{"a", "b", "d"}) == nil ||
		checkWitnesses(nil, []string{"a", "a"}) == nil || checkWitnesses([]string{"a"}, []string{"a", "b"}) != nil {
		t.Fatal("wrong verdict")
	}
}

// Guards against a write to a manifest that vanished, which would start the history again.
func TestVanishedManifest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memkv.New()
		w := NewWriter(store, &witnesses{}, Config{})
		if _, err := w.Accept(t.Context(), orgTicket(1, "a", 5)); err != nil {
			t.Fatal(err)
		}
		e, _ := store.Get(t.Context(), Key)
		if err := store.Delete(t.Context(), Key, e.Version); err != nil {
			t.Fatal(err)
		}
		_, err := w.Accept(t.Context(), orgTicket(2, "a", 5))
		if _, getErr := store.Get(t.Context(), Key); err == nil || !errors.Is(getErr, kv.ErrNotFound) {
			t.Fatal(err, getErr)
		}
	})
}
