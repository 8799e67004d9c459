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

// errTaken is returned for a slot that belongs to another operator.
var errTaken = errors.New("taken")

// claimSlot makes owner the owner of a free slot.
func claimSlot(ctx context.Context, w *Writer, slot int, owner string) error {
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

// runSlotClaims lets operators race for four slots under the faults of their scripts. An acknowledged claim has to
// stay, a refused one must not take effect later, and tickets accepted in between must not be lost.
func runSlotClaims(t *testing.T, scripts []script, broken disabledMechanisms) (err error) {
	synctest.Test(t, func(t *testing.T) {
		ctx, store := t.Context(), memkv.New()
		if err = writeFirstManifest(ctx, store); err != nil {
			return
		}
		var mu sync.Mutex
		var wg sync.WaitGroup
		possible := make([][]string, 4) // owners by slot whose claims were acknowledged or have an unknown outcome
		acknowledged := make([]string, 4)
		var accepted []int64
		for id, s := range scripts {
			o := &operator{script: s, id: id, store: store.Client(), broken: broken}
			o.store.SetInjector(o.inject)
			w := NewWriter(brokenStore{o.store, o}, o, Config{})
			wg.Go(func() {
				for i, c := range s.Calls {
					time.Sleep(c.ThinkTime)
					slot, owner := int(c.Number)%4, fmt.Sprint("host", id)
					claimErr := claimSlot(ctx, w, slot, owner)
					number := int64(100*id + i + 1)
					_, ticketErr := w.Accept(ctx, orgTicket(number, owner, 1))
					mu.Lock()
					if r, ok := refusal.As(claimErr); claimErr == nil || ok && r.Run == refusal.RunUnknown {
						possible[slot] = append(possible[slot], owner)
					}
					if claimErr == nil {
						if acknowledged[slot] != "" && acknowledged[slot] != owner {
							err = fmt.Errorf("slot %d was given to %s and %s", slot, acknowledged[slot], owner)
						}
						acknowledged[slot] = owner
					}
					if ticketErr == nil {
						accepted = append(accepted, number)
					}
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		time.Sleep(10 * time.Second) // delayed writes take effect
		final, loadErr := NewReader().Load(ctx, StoreSource{store})
		if loadErr != nil {
			err = errors.Join(err, loadErr)
			return
		}
		for slot := range 4 {
			owner := final.Manifest.Slots.Owners[slot]
			if acknowledged[slot] != "" && owner != acknowledged[slot] || owner != "" && !slices.Contains(possible[slot], owner) {
				err = errors.Join(err, fmt.Errorf("slot %d belongs to %q; acknowledged %q, possible %q",
					slot, owner, acknowledged[slot], possible[slot]))
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
// concurrently, with lost answers, outages, delayed writes and pauses.
func TestUpdateGivesSlotOneOwner(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if err := runSlotClaims(t, rapid.SliceOfN(testScript, 2, 4).Draw(rt, "scripts"), disabledMechanisms{}); err != nil {
			rt.Fatal(err)
		}
	})
	for name, broken := range map[string]disabledMechanisms{"no CAS": {noCAS: true}, "no reread": {noReread: true}} {
		caught := false
		for seed := 0; seed < 100 && !caught; seed++ {
			caught = runSlotClaims(t, rapid.SliceOfN(testScript, 2, 4).Example(seed), broken) != nil
		}
		if !caught {
			t.Errorf("negative control %s: not caught", name)
		}
	}
}
