// Package tcpopt sets the TCP options that detect unreachable peers, and tells whether an idle connection may be reused.
package tcpopt

import (
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of linux/tcp.h, which package syscall lacks.
const tcpUserTimeout = 18

// Options bound the time after which the kernel closes the connection of an unreachable peer.
type Options struct {
	Idle        time.Duration // before the first keepalive probe
	Interval    time.Duration // between probes
	Count       int           // unanswered probes after which the connection is closed
	UserTimeout time.Duration // longest time that written data may stay unacknowledged
}

// Set sets the options of a TCP connection and leaves other connections as they are. If it fails, the system's defaults
// may stay in force, with which an unreachable peer is detected later.
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
	var optErr error
	err = raw.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(o.UserTimeout/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return optErr
}

// Stale reports without blocking whether an idle TCP connection must not be reused: its peer closed it or sent bytes that
// were not requested. Connections other than TCP are never stale.
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
