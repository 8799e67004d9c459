package tcpopt

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// tcpPair returns both ends of a TCP connection: in was accepted, out was dialled.
func tcpPair(t *testing.T) (in, out *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	s, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s.(*net.TCPConn), c.(*net.TCPConn)
}

// Guards against connections without the options that detect an unreachable peer.
func TestSetAppliesAllOptions(t *testing.T) {
	in, _ := tcpPair(t)
	if err := Set(in, Options{Idle: 2 * time.Second, Interval: time.Second, Count: 3}); err != nil {
		t.Fatal(err)
	}
	raw, err := in.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	for name, opt := range map[string]struct{ level, option, want int }{
		"user timeout": {syscall.IPPROTO_TCP, tcpUserTimeout, 5000}, "keepalive": {syscall.SOL_SOCKET, syscall.SO_KEEPALIVE, 1},
		"idle": {syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE, 2}, "interval": {syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL, 1},
		"count": {syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT, 3},
	} {
		var got int
		var optErr error
		if err := raw.Control(func(fd uintptr) { got, optErr = syscall.GetsockoptInt(int(fd), opt.level, opt.option) }); err != nil {
			t.Fatal(err)
		}
		if optErr != nil || got != opt.want {
			t.Errorf("%s: %d %v, want %d", name, got, optErr, opt.want)
		}
	}
}

// Guards against reuse of a connection that its peer closed or wrote to, and against calling an open, idle one stale.
func TestClosedAndWrittenConnectionsAreStale(t *testing.T) {
	in, out := tcpPair(t)
	if Stale(out) {
		t.Error("an open connection is called stale")
	}
	if _, err := in.Write([]byte("a")); err != nil {
		t.Fatal(err)
	}
	arrived := func(c *net.TCPConn) { // waits for bytes or the end of the connection without consuming them
		raw, err := c.SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		_ = raw.Read(func(fd uintptr) bool {
			var b [1]byte
			_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			return err != syscall.EAGAIN
		})
	}
	if arrived(out); !Stale(out) {
		t.Error("a connection with unrequested bytes is not called stale")
	}
	in, out = tcpPair(t)
	_ = in.Close()
	if arrived(out); !Stale(out) {
		t.Error("a closed connection is not called stale")
	}
}

// Guards against buffers of the kernel that grow with what a peer sends and is not read.
func TestBuffersAreBounded(t *testing.T) {
	const size = 32 << 10
	listen := net.ListenConfig{Control: SetBuffers(size, 0)}
	ln, err := listen.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	out, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	in, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer in.Close()
	raw, err := in.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var got int
	if err := raw.Control(func(fd uintptr) { got, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF) }); err != nil || got != 2*size {
		t.Errorf("%d bytes, %v; want %d, which the kernel doubles", got, err, 2*size)
	}
}

// Guards against a wait for bytes that consumes them, outlasts its deadline, or takes an ended connection for one with bytes.
func TestAwaitBytesTellsBytesFromTheEnd(t *testing.T) {
	in, out := tcpPair(t)
	if err := out.SetReadDeadline(time.Now().Add(10 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if known, err := AwaitBytes(out); !known || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("without bytes: %v %v", known, err)
	}
	_ = out.SetReadDeadline(time.Time{})
	if _, err := in.Write([]byte("ab")); err != nil {
		t.Fatal(err)
	}
	b := make([]byte, 2)
	if known, err := AwaitBytes(out); !known || err != nil {
		t.Errorf("with bytes: %v %v", known, err)
	}
	if _, err := io.ReadFull(out, b); err != nil || string(b) != "ab" {
		t.Errorf("%q %v", b, err)
	}
	_ = in.Close()
	if known, err := AwaitBytes(out); !known || !errors.Is(err, io.EOF) {
		t.Errorf("after the end: %v %v", known, err)
	}
	if known, _ := AwaitBytes(struct{ net.Conn }{out}); known {
		t.Error("a connection that is not TCP is taken for one")
	}
}
