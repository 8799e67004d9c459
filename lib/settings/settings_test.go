package settings

import (
	"strings"
	"testing"
)

// Guards against a misspelt key being ignored. The error must name the file, the line and the key.
func TestParseRefusesUnknownKey(t *testing.T) {
	var n Node
	err := Parse("gw.yaml", []byte("host: a\nzone: b\nmehs: 127.0.0.1:1\n"), &n)
	if err == nil || !strings.Contains(err.Error(), "gw.yaml") || !strings.Contains(err.Error(), "[3:1]") ||
		!strings.Contains(err.Error(), "mehs") {
		t.Fatalf("got %v", err)
	}
}

// Guards against accepting an address without a port, which would fail only when the program listens on it.
func TestValidateRefusesBadAddress(t *testing.T) {
	n := Node{Host: "a", Zone: "b", Mesh: "localhost", Metrics: "127.0.0.1:1", KV: "http://127.0.0.1:2", Hosts: "http://127.0.0.1:2"}
	if err := n.Validate(); err == nil || !strings.Contains(err.Error(), "mesh") {
		t.Fatalf("got %v", err)
	}
}
