package streamversion

import (
	"fmt"
	"testing"
	"time"
)

// Guards against streams that go on at another version, in the cases that depend on time, and against memory without bound.
func TestOnlyKnownStreamsGoOnWhereVersionsDiffer(t *testing.T) {
	now, service := time.Unix(1000, 0), []string{"s"}
	tr, other := New(), New()
	set := func(versions ...string) {
		tr.SetTargets(map[string][]string{"s": versions}, now)
		other.SetTargets(map[string][]string{"s": versions}, now)
	}
	expect := func(what string, t1 *Tracker, id, version string, ok bool) {
		t.Helper()
		if o, found := t1.Find(KeyOf("o", id), service, true, now); found != ok || ok && o != (Origin{"s", version}) {
			t.Errorf("%s, stream %s: %v, %v; want %s, %v", what, id, o, found, version, ok)
		}
	}
	set("v1")
	tr.Began(KeyOf("o", "a"), Origin{"s", "v1"}, false, now)
	expect("one version", other, "a", "v1", true)
	if _, ok := other.Find(KeyOf("o", "a"), service, false, now); ok {
		t.Error("a host that is not in touch takes a stream up that it does not know")
	}
	if len(tr.Report(now)) > 0 || len(tr.Own(now)) > 0 {
		t.Error("streams are reported although there is one version")
	}
	now = now.Add(5 * time.Second)
	set("v1", "v2")
	expect("before a report", other, "a", "", false)
	other.Merge(tr.Report(now), now)
	expect("begun before the second version", other, "a", "v1", true)
	if !tr.Began(KeyOf("o", "b"), Origin{"s", "v2"}, false, now) {
		t.Error("no record is to be kept although versions differ")
	}
	if _, ok := tr.Find(KeyOf("other organisation", "b"), service, true, now); ok {
		t.Error("a stream of another organisation is found")
	}
	set("v2")
	now = now.Add(tr.TTL() - time.Second)
	expect("old version gone", tr, "unknown", "", false)
	now = now.Add(2 * time.Second)
	expect("old version long gone", tr, "unknown", "v2", true)

	restarted := New()
	restarted.SetTargets(map[string][]string{"s": {"v2"}}, now)
	restarted.Restore(map[string][]string{"s": {"v1"}}, now)
	expect("old version gone while all hosts were down", restarted, "unknown", "", false)
	if _, ok := restarted.Find(KeyOf("o", "x"), []string{"s", "t"}, true, now); ok {
		t.Error("an unknown stream of a route to two services is taken up")
	}

	set("v1", "")
	tr.Began(KeyOf("o", "c"), Origin{"s", ""}, false, now)
	expect("version not stated", tr, "c", "", false)

	for i := range 3 * maxStreams {
		tr.Began(KeyOf("o", fmt.Sprint(i)), Origin{"s", "v1"}, false, now.Add(time.Duration(i)))
	}
	other.Merge(Report{"s": {"v1": "no base64!", "v2": "AAAA"}}, now)
	if len(tr.streams) > maxStreams || len(tr.Own(now)["s"]["v1"]) > 11*maxStored {
		t.Errorf("%d streams remembered", len(tr.streams))
	}
}

// BenchmarkBegan is what a stream costs that begins.
func BenchmarkBegan(b *testing.B) {
	for _, versions := range [][]string{{"v1"}, {"v1", "v2"}} {
		b.Run(fmt.Sprint(len(versions)), func(b *testing.B) {
			tr, now := New(), time.Unix(1000, 0)
			tr.SetTargets(map[string][]string{"s": versions}, now)
			ids := make([]string, 1<<12)
			for i := range ids {
				ids[i] = fmt.Sprintf("%016x", i*i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				tr.Began(KeyOf("organisation", ids[i%len(ids)]), Origin{"s", "v1"}, false, now)
			}
		})
	}
}
