package entryhost

import (
	"bytes"
	"fmt"
	"testing"

	"cuminhook.org/cuminhook/lib/deflate"
)

// Guards against hosts that get a change of a large configuration late because the link of their aggregator is full of it: 13 leaves
// have to get one of 1,800 routes within half a second over 10 Mbit/s.
func TestLargeConfigurationFitsTheLinkOfAnAggregator(t *testing.T) {
	const leaves, linkBytesPerSecond = 13, 10e6 / 8
	var value bytes.Buffer
	for i := range 1800 {
		fmt.Fprintf(&value, `{"name":"r-%x","host":"h%x.example","prefix":"/p%x/","kind":"stream","timeout_ms":20000,"target_latency_ms":3000,`+
			`"priority":2,"service":"s%x","max_attempts":2,"public":false,"sticky":true,"resumable":true,"gap_aim_ms":150},`,
			i*7919, i%12, i*104729, i%5)
	}
	s := configService{value: value.Bytes}
	var reply []byte
	if err := s.Compressed(struct{}{}, &reply); err != nil {
		t.Fatal(err)
	}
	if seconds := leaves * float64(len(reply)) / linkBytesPerSecond; seconds > 0.5 {
		t.Errorf("%d bytes of %d take %.2f s", len(reply), value.Len(), seconds)
	}
	if got, err := deflate.Decompress(reply, maxConfigBytes); err != nil || !bytes.Equal(got, value.Bytes()) {
		t.Errorf("read back %d bytes: %v", len(got), err)
	}
	if _, err := deflate.Decompress(reply, value.Len()-1); err == nil {
		t.Error("a configuration above the bound was read")
	}
}
