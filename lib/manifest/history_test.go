package manifest

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"cuminhook.org/cuminhook/lib/kv"
	"cuminhook.org/cuminhook/lib/kv/memkv"
	"cuminhook.org/cuminhook/lib/refusal"
	"cuminhook.org/cuminhook/lib/ticket"
	"cuminhook.org/cuminhook/test/rapidtest"
)

func TestMain(m *testing.M) { os.Exit(rapidtest.Run(m, "1", "")) }

// call is one ticket that an operator sends.
type call struct {
	ThinkTime time.Duration // before the call
	Number    int64
	Name      string
	Rate      int64
}

// script holds the calls of one operator, who has an admin program of its own, and the faults between that program
// and the key-value service and witnesses.
type script struct {
	Calls    []call
	Faults   []memkv.Fault   // of the calls to the key-value service, in order; repeated
	Pauses   []time.Duration // between announcement and write, in order; repeated
	Compacts bool            // calls Snapshot and DeleteObsolete before each call
}

var testScript = rapid.Custom(func(t *rapid.T) script {
	seconds := rapid.Custom(func(t *rapid.T) time.Duration {
		return time.Duration(rapid.IntRange(1, 7000).Draw(t, "ms")) * time.Millisecond
	})
	// A run of 60 failed calls lasts longer than storeAnswerTimeout.
	faults := rapid.Custom(func(t *rapid.T) []memkv.Fault {
		n := rapid.IntRange(1, 2).Draw(t, "n")
		switch rapid.IntRange(0, 7).Draw(t, "fault") {
		case 0:
			return slices.Repeat([]memkv.Fault{{Unavailable: true}}, n)
		case 1:
			return append([]memkv.Fault{{LoseAnswer: true}}, slices.Repeat([]memkv.Fault{{Unavailable: true}}, 60)...)
		case 2:
			return slices.Repeat([]memkv.Fault{{LoseAnswer: true}}, n)
		case 3:
			return []memkv.Fault{{Delay: seconds.Draw(t, "delay")}}
		}
		return make([]memkv.Fault, rapid.IntRange(1, 12).Draw(t, "healthy"))
	})
	oneCall := rapid.Custom(func(t *rapid.T) call {
		return call{
			ThinkTime: rapid.SampledFrom([]time.Duration{0, time.Millisecond, 3 * time.Second, 11 * time.Minute}).Draw(t, "think"),
			Number:    rapid.Int64Range(1, 6).Draw(t, "number"),
			Name:      rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name"),
			Rate:      rapid.Int64Range(1, 2).Draw(t, "rate"),
		}
	})
	return script{
		Calls:    rapid.SliceOfN(oneCall, 1, 5).Draw(t, "calls"),
		Faults:   append(make([]memkv.Fault, 4), slices.Concat(rapid.SliceOfN(faults, 1, 10).Draw(t, "faults")...)...),
		Pauses:   rapid.SliceOfN(rapid.SampledFrom([]time.Duration{0, 0, 0, 900 * time.Millisecond, 4 * time.Second}), 1, 5).Draw(t, "pauses"),
		Compacts: rapid.Bool().Draw(t, "tidy"),
	}
})

// outcome is the result of a call, or the state that is read at the end.
type outcome struct {
	reason   refusal.Reason // of the refusal; empty if accepted
	repeated bool
	final    *ticket.State // for the read at the end
}

// acceptModel is the sequential specification of Accept. It uses State.Apply, which is tested in its own package.
var acceptModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{ticket.EmptyState()} },
	Step: func(state, input, output any) []any {
		s, out := state.(*ticket.State), output.(outcome)
		if out.final != nil {
			if sameState(s, out.final) {
				return []any{s}
			}
			return nil
		}
		next, err := s.Apply(input.(*ticket.Ticket))
		r, refused := refusal.As(err)
		switch out.reason {
		case "":
			if err == nil && (!out.repeated || next == s) {
				return []any{next}
			}
		case refusal.NoMajority, refusal.StoreUnavailable:
			return []any{s}
		case refusal.OutcomeUnknown:
			if err == nil {
				return []any{s, next}
			}
			return []any{s}
		default:
			if refused && r.Reason == out.reason {
				return []any{s}
			}
		}
		return nil
	},
	Equal: func(a, b any) bool { return sameState(a.(*ticket.State), b.(*ticket.State)) },
}

func sameState(a, b *ticket.State) bool {
	x, _ := ticket.EncodeState(a)
	y, _ := ticket.EncodeState(b)
	return bytes.Equal(x, y)
}

// disabledMechanisms names the mechanisms that a negative control switches off.
type disabledMechanisms struct {
	noCAS        bool // writes replace whatever is there
	noClockCheck bool
	noReread     bool // a lost answer is taken for a failed write
}

// operator runs one script.
type operator struct {
	script
	id     int
	w      *Writer
	store  *memkv.Store
	broken disabledMechanisms

	mu        sync.Mutex
	announced time.Time // guarded by mu
	lateWrite error     // guarded by mu; writes that came too late after their announcement
	calls     int       // guarded by mu
	pauses    int       // guarded by mu
}

// Announce implements Announcer. It pauses the operator's program, so the pause does not end with the context.
func (o *operator) Announce(context.Context, Restriction, []string) (int, error) {
	o.mu.Lock()
	o.announced = time.Now()
	pause := o.Pauses[o.pauses%len(o.Pauses)]
	o.pauses++
	o.mu.Unlock()
	time.Sleep(pause)
	return 1, nil
}

// inject implements memkv.Injector.
func (o *operator) inject(op memkv.Op, key string) memkv.Fault {
	o.mu.Lock()
	defer o.mu.Unlock()
	if age := time.Since(o.announced); op == memkv.OpPut && key == Key && age > 2*time.Second {
		o.lateWrite = errors.Join(o.lateWrite, fmt.Errorf("write %v after its announcement", age))
	}
	f := o.Faults[o.calls%len(o.Faults)]
	o.calls++
	return f
}

// Put writes to the store without the mechanisms that are switched off.
func (o *operator) Put(ctx context.Context, key string, value []byte, expect kv.Version, lease kv.LeaseID) (kv.Version, error) {
	if o.broken.noCAS && key == Key {
		if e, err := o.store.Get(ctx, key); err == nil {
			expect = e.Version
		}
	}
	v, err := o.store.Put(ctx, key, value, expect, lease)
	if o.broken.noReread && errors.Is(err, kv.ErrUnknown) {
		return v, kv.ErrTooLarge // any error after which the writer doesn't read again
	}
	return v, err
}

// brokenStore is an operator's store with Put replaced.
type brokenStore struct {
	*memkv.Store
	o *operator
}

func (s brokenStore) Put(ctx context.Context, key string, value []byte, expect kv.Version, lease kv.LeaseID) (kv.Version, error) {
	return s.o.Put(ctx, key, value, expect, lease)
}

func (o *operator) run(ctx context.Context, start time.Time) []porcupine.Operation {
	var history []porcupine.Operation
	for _, c := range o.Calls {
		time.Sleep(c.ThinkTime)
		if o.Compacts {
			_, _ = o.w.Snapshot(ctx) // may fail half-way, as in operation
			_ = o.w.DeleteObsolete(ctx)
		}
		t := orgTicket(c.Number, c.Name, c.Rate)
		begin := time.Since(start)
		receipt, err := o.w.Accept(ctx, t)
		op := porcupine.Operation{ClientId: o.id, Input: t, Call: int64(begin), Return: int64(time.Since(start))}
		out := outcome{repeated: receipt.Repeated}
		if r, ok := refusal.As(err); ok {
			out.reason = r.Reason
		} else if err != nil {
			out.reason = refusal.NoMajority // stands for any error that means that nothing was written
		}
		if out.reason == refusal.OutcomeUnknown {
			op.Return = math.MaxInt64 - 1 // the write may still take effect later
		}
		op.Output = out
		history = append(history, op)
	}
	return history
}

// runScripts runs the operators concurrently and checks that their calls are linearizable, that a reader loses no
// accepted ticket and that no write comes late after its announcement.
func runScripts(t *testing.T, scripts []script, broken disabledMechanisms) (err error) {
	synctest.Test(t, func(t *testing.T) {
		ctx, store, start := t.Context(), memkv.New(), time.Now()
		if err = writeFirstManifest(ctx, store); err != nil {
			return
		}
		var mu sync.Mutex
		var history []porcupine.Operation
		var wg sync.WaitGroup
		operators := make([]*operator, len(scripts))
		for i, s := range scripts {
			o := &operator{script: s, id: i, store: store.Client(), broken: broken}
			o.store.SetInjector(o.inject)
			o.w = NewWriter(brokenStore{o.store, o}, o, Config{SkipClockCheck: broken.noClockCheck})
			operators[i] = o
			wg.Go(func() {
				ops := o.run(ctx, start)
				mu.Lock()
				defer mu.Unlock()
				history = append(history, ops...)
			})
		}
		done := make(chan struct{})
		watchErr := make(chan error, 1)
		go func() { watchErr <- watchAccepted(ctx, store.Client(), done) }()
		wg.Wait()
		time.Sleep(10 * time.Second) // delayed writes take effect
		close(done)
		err = <-watchErr
		for _, o := range operators {
			err = errors.Join(err, o.lateWrite)
		}
		final, loadErr := NewReader().Load(ctx, StoreSource{store})
		if loadErr != nil {
			err = errors.Join(err, loadErr)
			return
		}
		history = append(history, porcupine.Operation{
			ClientId: len(scripts), Output: outcome{final: final.State}, Call: math.MaxInt64 - 1, Return: math.MaxInt64,
		})
		if !porcupine.CheckOperations(acceptModel.ToModel(), history) {
			err = errors.Join(err, fmt.Errorf("the history of Accept is not linearizable: %+v", history))
		}
	})
	return err
}

// writeFirstManifest writes a first manifest with one witness, so that announcements take place.
func writeFirstManifest(ctx context.Context, store *memkv.Store) error {
	_, err := NewWriter(store, nil, Config{}).Update(ctx, func(m *Manifest) (Restriction, error) {
		m.Witnesses = []string{"w"}
		return Restriction{}, nil
	})
	return err
}

// watchAccepted loads the manifest again and again, as hosts do, and returns an error if an accepted ticket disappears.
func watchAccepted(ctx context.Context, store kv.Store, done chan struct{}) error {
	reader := NewReader()
	var last *Loaded
	for {
		next, err := reader.Load(ctx, StoreSource{store})
		if err != nil && !errors.Is(err, ErrNoManifest) {
			return err
		}
		if last != nil {
			for number, hash := range last.State.Accepted.All() {
				if got, _ := next.State.Accepted.Get(number); got != hash {
					return fmt.Errorf("ticket %d was accepted at revision %d and is not at %d", number,
						last.Manifest.Revision, next.Manifest.Revision)
				}
			}
		}
		last = next
		select {
		case <-done:
			return nil
		case <-time.After(500 * time.Millisecond):
		}
	}
}

// Guards against accepted tickets that are lost or reverted, refusals of tickets that took effect, and writes
// long after their announcement, with racing operators, lost answers, outages, delayed writes and pauses.
func TestAcceptIsLinearizable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		scripts := rapid.SliceOfN(testScript, 1, 4).Draw(rt, "scripts")
		if err := runScripts(t, scripts, disabledMechanisms{}); err != nil {
			rt.Fatal(err)
		}
	})
}

// Guards against a check that finds nothing: with any one mechanism switched off, it has to fail.
func TestAcceptNegativeControls(t *testing.T) {
	for name, broken := range map[string]disabledMechanisms{
		"no CAS":         {noCAS: true},
		"no clock check": {noClockCheck: true},
		"no reread":      {noReread: true},
	} {
		caught := 0
		for seed := 0; seed < 100 && caught == 0; seed++ {
			if runScripts(t, rapid.SliceOfN(testScript, 2, 4).Example(seed), broken) != nil {
				caught++
			}
		}
		if caught == 0 {
			t.Errorf("%s: not caught", name)
		}
	}
}
