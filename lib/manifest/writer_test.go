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

// fakeAnnouncer is an Announcer that records restrictions and returns a fixed number of acknowledgements after a
// delay.
type fakeAnnouncer struct {
	acked int
	delay time.Duration
	seen  []Restriction
}

func (w *fakeAnnouncer) Announce(_ context.Context, r Restriction, _ []string) (int, error) {
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

// Guards against a reader that misses tickets at chunk boundaries, that applies them in another order than a reader
// that loaded the manifest again and again, or that cannot be the source of another host.
func TestReadersReachSameState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, store := t.Context(), memkv.New()
		w, incremental := NewWriter(store, &fakeAnnouncer{}, Config{}), NewReader()
		for i := int64(1); i <= 150; i++ {
			r, err := w.Accept(ctx, orgTicket(i, fmt.Sprintf("o%d", i%7), i))
			if err != nil || r.Repeated || r.Revision != i {
				t.Fatal(r, err)
			}
			if i%10 == 0 {
				if _, err := incremental.Load(ctx, StoreSource{store}); err != nil {
					t.Fatal(err)
				}
			}
		}
		fresh, second := NewReader(), NewReader()
		a, err := fresh.Load(ctx, StoreSource{store})
		if err != nil || a.State.Accepted.Len() != 150 || len(a.Manifest.Chunks) != 2 {
			t.Fatal(a, err)
		}
		b, err := second.Load(ctx, incremental)
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

// Guards against a ticket that is reported as refused though it took effect, or that is accepted twice, after the
// answer to the CAS was lost.
func TestAcceptAfterLostAnswer(t *testing.T) {
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
		w := NewWriter(store, &fakeAnnouncer{}, Config{})
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

// Guards against reporting a ticket as not accepted when the key-value service stops answering after the CAS.
func TestAcceptOutcomeUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memkv.New()
		sent := false
		store.SetInjector(func(op memkv.Op, key string) memkv.Fault {
			sent = sent || op == memkv.OpPut && key == Key
			return memkv.Fault{LoseAnswer: sent}
		})
		w := NewWriter(store, &fakeAnnouncer{}, Config{})
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

// Guards against a CAS without a majority of the witnesses, and against a CAS that is sent long after the
// announcement because the writer was paused. As a negative control, a writer without the clock check has to write.
func TestWriteNeedsTimelyMajority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, store := t.Context(), memkv.New()
		ann := &fakeAnnouncer{acked: 2}
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
			t.Fatal("a writer that was paused after its announcement wrote")
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

// Guards against every write being blocked for good after the loss of a majority of the witnesses, and against
// counting a witness as gone that is only unreachable.
func TestGoneWitnessesDoNotBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ann := &fakeAnnouncer{acked: 3}
		gone := map[string]bool{}
		w := NewWriter(memkv.New(), ann, Config{WitnessGone: func(id string) bool { return gone[id] }})
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
			t.Errorf("one of three gone, two unreachable: %v", err)
		}
		gone["b"] = true
		if _, err := w.Accept(t.Context(), orgTicket(2, "a", 5)); err != nil {
			t.Errorf("two of three gone: %v", err)
		}
	})
}

// Guards against changing two witnesses in one write, after which two majorities need not share a witness.
func TestWitnessesChangeOneByOne(t *testing.T) {
	if checkWitnesses([]string{"a", "b", "c"}, []string{"a", "b", "d"}) == nil ||
		checkWitnesses(nil, []string{"a", "a"}) == nil || checkWitnesses([]string{"a"}, []string{"a", "b"}) != nil {
		t.Fatal("a change of two witnesses or a duplicate was allowed, or a single addition was refused")
	}
}

// Guards against writing after the manifest has been deleted, which would start the revisions again from 1.
func TestWriterRefusesMissingManifest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memkv.New()
		w := NewWriter(store, &fakeAnnouncer{}, Config{})
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
