package manifest

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"cuminhook.org/cuminhook/lib/kv/memkv"
	"cuminhook.org/cuminhook/lib/ticket"
)

// Guards against a reader that returns to a lower revision because a source is older or a concurrent load ends later.
func TestReaderKeepsHighestRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, store := t.Context(), memkv.New()
		w, reader, old := NewWriter(store, &fakeAnnouncer{}, Config{}), NewReader(), NewReader()
		if _, err := reader.Load(ctx, StoreSource{store}); !errors.Is(err, ErrNoManifest) {
			t.Fatal(err)
		}
		for i := int64(1); i <= 2; i++ {
			if _, err := w.Accept(ctx, orgTicket(i, "a", i)); err != nil {
				t.Fatal(err)
			}
			if i == 1 {
				if _, err := old.Load(ctx, StoreSource{store}); err != nil {
					t.Fatal(err)
				}
			}
		}
		if _, err := reader.Load(ctx, StoreSource{store}); err != nil {
			t.Fatal(err)
		}
		if l, err := reader.Load(ctx, old); err != nil || l.Manifest.Revision != 2 {
			t.Fatal(l, err)
		}
		// A load of a lower revision that ends later must not replace the newer one.
		if l := reader.install(old.Newest(), nil); l.Manifest.Revision != 2 || reader.Newest() != l {
			t.Fatal(l)
		}
	})
}

// Guards against a host that cannot start from another host during an outage of the key-value service because the
// other host has dropped the ticket bodies and its encoded state is a few tickets old.
func TestReaderStartsFromPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, store := t.Context(), memkv.New()
		w, peer := NewWriter(store, &fakeAnnouncer{}, Config{}), NewReader()
		accept := func(from, to int64) {
			t.Helper()
			for i := from; i <= to; i++ {
				if _, err := w.Accept(ctx, orgTicket(i, fmt.Sprintf("o%d", i%5), i)); err != nil {
					t.Fatal(err)
				}
			}
			if _, err := peer.Load(ctx, StoreSource{store}); err != nil {
				t.Fatal(err)
			}
		}
		check := func(to int64) {
			t.Helper()
			l, err := NewReader().Load(ctx, peer)
			if err != nil || l.Manifest.Seq != to || l.State.Accepted.Len() != int(to) || l.State.Organisations["o1"] != peer.Newest().State.Organisations["o1"] {
				t.Fatal(l, err)
			}
		}
		accept(1, 100)
		peer.objects = map[string][]byte{}
		check(100)
		accept(101, 120)
		check(120)
	})
}

// Guards against a host that runs out of memory because it caches large ticket bodies for other hosts.
func TestReaderBoundsCachedObjects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, store, reader := t.Context(), memkv.New(), NewReader()
		w := NewWriter(store, &fakeAnnouncer{}, Config{})
		for n := int64(1); n <= 25; n++ {
			tk := orgTicket(n, "a", n)
			for i := range 4 {
				tk.Routes = append(tk.Routes, ticket.Route{
					Name: fmt.Sprint("r", i), Prefix: fmt.Sprint("/", i), Service: strings.Repeat("s", 100_000), DeadlineMS: 1,
				})
			}
			if _, err := w.Accept(ctx, tk); err != nil {
				t.Fatal(err)
			}
			if _, err := reader.Load(ctx, StoreSource{store}); err != nil {
				t.Fatal(err)
			}
			total := 0
			for _, value := range reader.objects {
				total += len(value)
			}
			if total > objectCacheBytes || total != reader.objectBytes {
				t.Fatalf("%d bytes kept, %d counted", total, reader.objectBytes)
			}
		}
		if len(reader.objects) == 25 {
			t.Fatal("the bodies are too small for this test")
		}
	})
}

// Guards against revisions that start again at a lower number after the key-value service has lost data.
func TestWriterRefusesOlderStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, known := memkv.New(), int64(7)
		w := NewWriter(store, &fakeAnnouncer{}, Config{KnownRevision: func() int64 { return known }})
		if _, err := w.Accept(t.Context(), orgTicket(1, "a", 1)); err == nil {
			t.Fatal("written on top of an empty service")
		}
		known = 0
		if _, err := w.Accept(t.Context(), orgTicket(1, "a", 1)); err != nil {
			t.Fatal(err)
		}
		known = 2
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if _, err := w.Accept(ctx, orgTicket(2, "a", 1)); err == nil {
			t.Fatal("written on top of an older manifest")
		}
	})
}
