package lease

import (
	"fmt"
	"testing"
	"time"
)

// newCampaignOrders returns the campaign orders of n hosts, and for each host the names of the others.
func newCampaignOrders(n int, now time.Time) (campaignOrders []*CampaignOrder, others [][]string) {
	for i := range n {
		campaignOrders = append(campaignOrders, NewCampaignOrder(fmt.Sprint("h", i), now))
		var names []string
		for j := range n {
			if j != i {
				names = append(names, fmt.Sprint("h", j))
			}
		}
		others = append(others, names)
	}
	return campaignOrders, others
}

// Guards against a whole fleet that waits at the store for a lease that only one host can get. While the holder is alive,
// no host campaigns; once it is unreachable, the candidates campaign one after the other.
func TestFewHostsCampaign(t *testing.T) {
	start := time.Unix(1000, 0)
	const hosts = 59
	campaignOrders, others := newCampaignOrders(hosts, start)
	countCampaigning := func(now time.Time) (n int) {
		for i, campaignOrder := range campaignOrders {
			if campaignOrder.ShouldCampaign(others[i], now) {
				n++
			}
		}
		return n
	}
	now := start
	for range 100 {
		now = now.Add(time.Second)
		for _, campaignOrder := range campaignOrders {
			campaignOrder.HolderAlive(3, now)
		}
		if n := countCampaigning(now.Add(time.Second)); n != 0 {
			t.Fatalf("%d hosts campaign although the holder is alive, want none", n)
		}
	}
	if n := countCampaigning(now.Add(holderTimeout)); n != 1 {
		t.Errorf("%d hosts campaign when the holder becomes unreachable, want 1", n)
	}
	if n := countCampaigning(now.Add(holderTimeout + 3*campaignDelayStep)); n != 4 {
		t.Errorf("%d hosts campaign three steps later, want 4", n)
	}
	if n := countCampaigning(now.Add(holderTimeout + maxCampaignRank*campaignDelayStep)); n != hosts {
		t.Errorf("%d hosts campaign at the end, want all", n)
	}
	for _, campaignOrder := range campaignOrders {
		campaignOrder.HolderResigned(3, now)
	}
	if n := countCampaigning(now); n != 1 {
		t.Errorf("%d hosts campaign when the holder has resigned, want 1", n)
	}
	for range maxCampaignRank { // the former holder announces repeatedly that it has resigned
		now = now.Add(campaignDelayStep)
		for _, campaignOrder := range campaignOrders {
			campaignOrder.HolderResigned(3, now)
		}
	}
	if n := countCampaigning(now); n != hosts {
		t.Errorf("%d hosts campaign at the end, want all", n)
	}
}

// Guards against a holder of an earlier term that resumes and keeps candidates from campaigning.
func TestHolderOfEarlierEpochIsIgnored(t *testing.T) {
	start := time.Unix(1000, 0)
	campaignOrder := NewCampaignOrder("h", start)
	campaignOrder.HolderAlive(5, start)
	campaignOrder.HolderAlive(4, start.Add(time.Second))
	if !campaignOrder.ShouldCampaign(nil, start.Add(holderTimeout)) {
		t.Error("the holder of an earlier epoch kept the host from campaigning")
	}
	campaignOrder.HolderResigned(4, start.Add(3*time.Second))
	campaignOrder.HolderAlive(6, start.Add(3*time.Second))
	if campaignOrder.ShouldCampaign(nil, start.Add(4*time.Second)) {
		t.Error("the holder of the current epoch did not keep the host from campaigning")
	}
}
