package memkv

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"cuminhook.org/cuminhook/lib/kv"
)

// Guards against leases that outlive their time to live or expire in spite of renewals, and against calls of Wait that
// miss the end of a lease.
func TestLeaseExpiresUnlessRenewed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, s := t.Context(), New()
		id, err := s.Grant(ctx, 5*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		v, err := s.Put(ctx, "k", nil, 0, id)
		if err != nil {
			t.Fatal(err)
		}
		for range 3 {
			time.Sleep(4 * time.Second)
			if err := s.KeepAlive(ctx, id); err != nil {
				t.Fatal(err)
			}
		}
		start := time.Now()
		e, err := s.Wait(ctx, "k", v, time.Minute)
		if err != nil || e.Version != 0 || time.Since(start) != 5*time.Second {
			t.Fatal(e, err, time.Since(start))
		}
		if err := s.KeepAlive(ctx, id); !errors.Is(err, kv.ErrLeaseLost) {
			t.Fatal(err)
		}
		if _, err := s.Put(ctx, "k", nil, 0, id); !errors.Is(err, kv.ErrLeaseLost) {
			t.Fatal(err)
		}
		if w, err := s.Put(ctx, "k", nil, 0, 0); err != nil || w <= v {
			t.Fatal("version reused", v, w, err)
		}
	})
}

// Guards against faults with the wrong effect. Tests of writers rely on writes that take effect after their caller
// gave up, and on faults that affect only one client.
func TestInjectedFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New()
		other := s.Client()
		s.SetFault(Fault{Delay: 3 * time.Second})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := s.Put(ctx, "k", []byte("x"), 0, 0); !errors.Is(err, kv.ErrUnknown) {
			t.Fatal(err)
		}
		if _, err := other.Get(t.Context(), "k"); !errors.Is(err, kv.ErrNotFound) {
			t.Fatal("a delayed write took effect early:", err)
		}
		e, err := other.Wait(t.Context(), "k", 0, time.Minute)
		if err != nil || string(e.Value) != "x" {
			t.Fatal(e, err)
		}
		s.SetFault(Fault{Unavailable: true})
		if err := s.Delete(t.Context(), "k", e.Version); !errors.Is(err, kv.ErrUnavailable) {
			t.Fatal(err)
		}
		s.SetFault(Fault{LoseAnswer: true})
		if err := s.Delete(t.Context(), "k", e.Version); !errors.Is(err, kv.ErrUnknown) {
			t.Fatal(err)
		}
		if _, err := other.Get(t.Context(), "k"); !errors.Is(err, kv.ErrNotFound) || s.Calls(OpDelete) != 2 {
			t.Fatal(err)
		}
	})
}
