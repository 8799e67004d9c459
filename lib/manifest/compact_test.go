package manifest

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cuminhook.org/cuminhook/lib/kv/memkv"
	"cuminhook.org/cuminhook/lib/ticket"
)

// Guards against a snapshot that loses tickets, against readers a few tickets behind that have to load the snapshot,
// against deletions before ObsoleteKeyDelay or of objects that are still referred to, and against a log that grows without
// bound.
func TestCompactKeepsTicketsAndBoundsLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, store := t.Context(), memkv.New()
		w, behind := NewWriter(store, &fakeAnnouncer{}, Config{}), NewReader()
		accept := func(from, to int64) {
			t.Helper()
			for i := from; i <= to; i++ {
				if _, err := w.Accept(ctx, orgTicket(i, fmt.Sprintf("o%d", i%7), i)); err != nil {
					t.Fatal(err)
				}
			}
		}
		compact := func(w *Writer) {
			t.Helper()
			if err := w.Compact(ctx); err != nil {
				t.Fatal(err)
			}
		}
		count := func(prefix string) int {
			t.Helper()
			list, err := store.List(ctx, prefix)
			if err != nil {
				t.Fatal(err)
			}
			return len(list)
		}
		accept(1, TicketsPerSnapshot-10)
		compact(w)
		if _, err := behind.Load(ctx, StoreSource{store}); err != nil || count("snapshot/") != 0 {
			t.Fatal(err, "snapshot before it is due")
		}
		accept(TicketsPerSnapshot-9, TicketsPerSnapshot)
		compact(w)
		if n := count("snapshot/"); n != 1 {
			t.Fatal("snapshot parts:", n)
		}
		store.SetInjector(func(_ memkv.Op, key string) memkv.Fault {
			return memkv.Fault{Unavailable: strings.HasPrefix(key, "snapshot/")}
		})
		if l, err := behind.Load(ctx, StoreSource{store}); err != nil || l.State.Accepted.Len() != TicketsPerSnapshot {
			t.Fatal("a reader ten tickets behind needed the snapshot:", err)
		}
		store.SetInjector(nil)

		// Another controller becomes active and trims. It has not seen the record of obsolete keys before.
		next := NewWriter(store, &fakeAnnouncer{}, Config{})
		compact(next)
		time.Sleep(ObsoleteKeyDelay - time.Second)
		compact(next)
		if n := count("ticket/"); n != TicketsPerSnapshot {
			t.Fatal("bodies deleted before the delay:", n)
		}
		time.Sleep(2 * time.Second)
		compact(next)
		if n := count("ticket/"); n != 2*ChunkSize || count("chunk/") != 1 || count(obsoletePrefix) != 0 {
			t.Fatal("bodies left:", n)
		}
		accept(TicketsPerSnapshot+1, 2*TicketsPerSnapshot+5)
		fresh, err := NewReader().Load(ctx, StoreSource{store})
		if err != nil || fresh.State.Accepted.Len() != 2*TicketsPerSnapshot+5 {
			t.Fatal("a reader that starts from the snapshot lacks tickets:", err)
		}
		compact(next)
		time.Sleep(ObsoleteKeyDelay)
		compact(next)
		if n := count("snapshot/"); n != 1 || count("chunk/") != 1 || count("ticket/") != ChunkSize+5 {
			t.Fatal("the log grows:", n, count("chunk/"), count("ticket/"))
		}
		again, err := NewReader().Load(ctx, StoreSource{store})
		if err != nil {
			t.Fatal(err)
		}
		a, _ := ticket.EncodeState(fresh.State)
		b, _ := ticket.EncodeState(again.State)
		if string(a) != string(b) {
			t.Fatal("the state from the snapshot differs from the state from the log")
		}
	})
}
