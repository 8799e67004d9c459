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

// Guards against a snapshot that loses tickets, a reader slightly behind that has to load it, deletions before
// the delay, deletions of what is still referred to, and a log that grows without bound.
func TestCompact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, store := t.Context(), memkv.New()
		w, behind := NewWriter(store, &witnesses{}, Config{}), NewReader()
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
		accept(1, SnapshotEvery-10)
		compact(w)
		if _, err := behind.Load(ctx, StoreSource{store}); err != nil || count("snapshot/") != 0 {
			t.Fatal(err, "snapshot before it is due")
		}
		accept(SnapshotEvery-9, SnapshotEvery)
		compact(w)
		if n := count("snapshot/"); n != 1 {
			t.Fatal("snapshot parts:", n)
		}
		store.SetInjector(func(_ memkv.Op, key string) memkv.Fault {
			return memkv.Fault{Unavailable: strings.HasPrefix(key, "snapshot/")}
		})
		if l, err := behind.Load(ctx, StoreSource{store}); err != nil || len(l.State.Accepted) != SnapshotEvery {
			t.Fatal("a reader ten tickets behind needed the snapshot:", err)
		}
		store.SetInjector(nil)

		// Another controller takes over and trims; it has not seen the record before.
		next := NewWriter(store, &witnesses{}, Config{})
		compact(next)
		time.Sleep(TrimDelay - time.Second)
		compact(next)
		if n := count("ticket/"); n != SnapshotEvery {
			t.Fatal("bodies deleted before the delay:", n)
		}
		time.Sleep(2 * time.Second)
		compact(next)
		if n := count("ticket/"); n != 2*ChunkSize || count("chunk/") != 1 || count(trashPrefix) != 0 {
			t.Fatal("bodies left:", n)
		}
		accept(SnapshotEvery+1, 2*SnapshotEvery+5)
		fresh, err := NewReader().Load(ctx, StoreSource{store})
		if err != nil || len(fresh.State.Accepted) != 2*SnapshotEvery+5 {
			t.Fatal("a reader that starts anew lacks tickets:", err)
		}
		compact(next)
		time.Sleep(TrimDelay)
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
