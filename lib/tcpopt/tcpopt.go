// Package tcpopt sets the TCP options that notice silent peers.
package tcpopt

import (
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of linux/tcp.h, which package syscall lacks.
const tcpUserTimeout = 18

// Options bound the time for which a peer may be silent.
type Options struct {
	Idle        time.Duration // before the first keepalive probe
	Interval    time.Duration // between probes
	Count       int           // unanswered probes until the connection is closed
	UserTimeout time.Duration // longest time that written data may stay unacknowledged
}

// Set sets the options of a TCP connection. Other connections are left as they are. A failure leaves the
// system's defaults, with which a silent peer is noticed later.
func Set(conn net.Conn, o Options) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	err := tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: o.Idle, Interval: o.Interval, Count: o.Count})
	if err != nil {
		return err
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var opt error
	err = raw.Control(func(fd uintptr) {
		opt = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(o.UserTimeout/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return opt
}

// Stale reports whether an idle TCP connection was closed by its peer or holds bytes that nobody asked for.
// It does not wait. Other connections are never stale.
func Stale(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	stale := true
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, peek := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		stale = peek != syscall.EAGAIN
	})
	return stale || err != nil
}
