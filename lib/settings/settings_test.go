package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
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

// Guards against a settings file that changes without a signal, and against a change that is missed while the file can't be read.
func TestWatchSeesChangesOfTheFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	write := func(text string) {
		err := os.WriteFile(path+".new", []byte(text), 0o600)
		if err = errors.Join(err, os.Rename(path+".new", path)); err != nil {
			t.Fatal(err)
		}
	}
	write("a: 1")
	signals, seen := make(chan os.Signal), make(chan struct{}, 10)
	go Watch(t.Context(), path, signals, time.Millisecond, func() { seen <- struct{}{} })
	signals <- os.Interrupt
	<-seen
	write("a: 2")
	<-seen
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	time.Sleep(10 * time.Millisecond)
	write("a: 3")
	<-seen
}
