package httpkv

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"cuminhook.org/cuminhook/lib/kv"
)

// Guards against a call that hangs on an unresponsive connection, a later call that uses the same connection, and a
// retry of the call by the client. Time is virtual.
func TestUnresponsiveConnectionIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, err := New("http://127.0.0.1:1")
		if err != nil {
			t.Fatal(err)
		}
		dials, closed := 0, 0
		s.pool.Dial = func(context.Context, string) (net.Conn, error) {
			dials++
			client, server := net.Pipe()
			go func() {
				_, _ = io.Copy(io.Discard, server) // until the client closes
				closed++
				server.Close()
			}()
			return client, nil
		}
		start := time.Now()
		if _, err := s.Put(t.Context(), "k", nil, 0, 0); !errors.Is(err, kv.ErrUnknown) || time.Since(start) != defaultTimeout {
			t.Fatal(err, time.Since(start))
		}
		synctest.Wait()
		if _, err := s.Get(t.Context(), "k"); !errors.Is(err, kv.ErrUnavailable) {
			t.Fatal(err)
		}
		synctest.Wait()
		if dials != 2 || closed != 2 {
			t.Fatalf("%d connections dialled, %d closed", dials, closed)
		}
	})
}
