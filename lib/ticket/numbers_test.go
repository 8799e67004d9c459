package ticket

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// Guards against numbers that are lost or get a wrong hash when chunks split, changes to older copies, and an encoding
// that doesn't decode to the same numbers. The reference is a plain map.
func TestAcceptedNumbersMatchesMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var n, old AcceptedNumbers
		want, oldWant := map[int64]string{}, map[int64]string{}
		add := func(number int64, value int) {
			want[number] = HashBytes([]byte(fmt.Sprint(value)))
			n = n.With(number, want[number])
		}
		for i := range int64(rapid.IntRange(0, 3*maxChunkEntries).Draw(t, "base")) {
			add(10*(i+1), 0)
		}
		if rapid.Bool().Draw(t, "copy") {
			old, oldWant = n, maps.Clone(want)
		}
		for range rapid.IntRange(0, 2*maxChunkEntries).Draw(t, "more") {
			add(rapid.Int64Range(1, 40*maxChunkEntries).Draw(t, "number"), rapid.IntRange(1, 2).Draw(t, "value"))
		}
		if !reflect.DeepEqual(maps.Collect(n.All()), want) || n.Len() != len(want) {
			t.Fatal("entries or length differ from those of the map")
		}
		if !reflect.DeepEqual(maps.Collect(old.All()), oldWant) && old.Len() > 0 {
			t.Fatal("an older copy changed")
		}
		data, err := json.Marshal(n)
		var back AcceptedNumbers
		if err != nil || json.Unmarshal(data, &back) != nil || !reflect.DeepEqual(maps.Collect(back.All()), want) {
			t.Fatal("decoding the encoded numbers gives other numbers:", err)
		}
		for number := range want {
			if hash, ok := back.Get(number); !ok || hash != want[number] {
				t.Fatal("wrong or missing hash of number", number)
			}
		}
		if keep := len(want) / 2; keep > 0 {
			newest, floor := n.newest(keep)
			maps.DeleteFunc(want, func(number int64, _ string) bool { return number < floor })
			if len(want) != keep || !reflect.DeepEqual(maps.Collect(newest.All()), want) {
				t.Fatal("newest returns wrong entries or a wrong floor")
			}
		}
	})
}
