package pipeline

import (
	"net"
	"syscall"
	"testing"
)

// Guards against callers' connections without the options that notice a silent caller within 5 s.
func TestAcceptedConnectionsHaveTCPOptions(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inner.Close()
	out, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	conn, err := listener{inner}.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	raw, err := conn.(*watchedConn).Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	for name, opt := range map[string]struct{ level, option, want int }{
		"user timeout": {syscall.IPPROTO_TCP, tcpUserTimeout, 5000}, "keepalive": {syscall.SOL_SOCKET, syscall.SO_KEEPALIVE, 1},
		"keepalive idle": {syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE, 2},
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
