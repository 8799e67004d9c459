package manifest

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"cuminhook.org/cuminhook/lib/kv/memkv"
	"cuminhook.org/cuminhook/lib/refusal"
)

// errTaken ends a claim of a slot that another operator has.
var errTaken = errors.New("taken")

// claim takes a free slot for an owner.
func claim(ctx context.Context, w *Writer, slot int, owner string) error {
	_, err := w.Update(ctx, func(m *Manifest) (Restriction, error) {
		switch m.Slots.Owners[slot] {
		case owner:
			return Restriction{}, ErrNoChange
		case "":
			m.Slots.Owners[slot] = owner
			m.Slots.Version++
			return Restriction{}, nil
		}
		return Restriction{}, errTaken
	})
	return err
}

// runClaims lets operators race for four slots with the faults of their scripts. An acknowledged claim has to
// stay, a refused one must not appear later, and tickets accepted in between must not get lost.
func runClaims(t *testing.T, scripts []script, broken mechanisms) (err error) {
	synctest.Test(t, func(t *testing.T) {
		ctx, store := t.Context(), memkv.New()
		if err = seed(ctx, store); err != nil {
			return
		}
		var mu sync.Mutex
		var wg sync.WaitGroup
		may := make([][]string, 4) // owners that the operators' answers allow
		must := make([]string, 4)
		var accepted []int64
		for id, s := range scripts {
			o := &operator{script: s, id: id, store: store.Client(), broken: broken}
			o.store.SetInjector(o.inject)
			w := NewWriter(brokenStore{o.store, o}, o, Config{})
			wg.Go(func() {
				for i, c := range s.Calls {
					time.Sleep(c.Think)
					slot, owner := int(c.Number)%4, fmt.Sprint("host", id)
					claimErr := claim(ctx, w, slot, owner)
					number := int64(100*id + i + 1)
					_, ticketErr := w.Accept(ctx, orgTicket(number, owner, 1))
					mu.Lock()
					if r, ok := refusal.As(claimErr); claimErr == nil || ok && r.Run == refusal.Unknown {
						may[slot] = append(may[slot], owner)
					}
					if claimErr == nil {
						if must[slot] != "" && must[slot] != owner {
							err = fmt.Errorf("slot %d was given to %s and %s", slot, must[slot], owner)
						}
						must[slot] = owner
					}
					if ticketErr == nil {
						accepted = append(accepted, number)
					}
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		time.Sleep(10 * time.Second) // delayed writes land
		final, loadErr := NewReader().Load(ctx, StoreSource{store})
		if loadErr != nil {
			err = errors.Join(err, loadErr)
			return
		}
		for slot := range 4 {
			owner := final.Manifest.Slots.Owners[slot]
			if must[slot] != "" && owner != must[slot] || owner != "" && !slices.Contains(may[slot], owner) {
				err = errors.Join(err, fmt.Errorf("slot %d belongs to %q; acknowledged %q, possible %q", slot, owner, must[slot], may[slot]))
			}
		}
		for _, number := range accepted {
			if _, ok := final.State.Accepted.Get(number); !ok {
				err = errors.Join(err, fmt.Errorf("ticket %d is lost", number))
			}
		}
	})
	return err
}

// Guards against slots with two owners and lost updates when the controller and operators write the manifest
// side by side, with lost answers, outages, late writes and pauses.
func TestUpdateRaces(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if err := runClaims(t, rapid.SliceOfN(testScript, 2, 4).Draw(rt, "scripts"), mechanisms{}); err != nil {
			rt.Fatal(err)
		}
	})
	for name, broken := range map[string]mechanisms{"no CAS": {noCAS: true}, "no reread": {noReread: true}} {
		caught := false
		for seed := 0; seed < 100 && !caught; seed++ {
			caught = runClaims(t, rapid.SliceOfN(testScript, 2, 4).Example(seed), broken) != nil
		}
		if !caught {
			t.Errorf("negative control %s: not caught", name)
		}
	}
}
