// Package tcpopt sets the TCP options that detect unreachable peers, and tells whether an idle connection may be reused.
package tcpopt

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of linux/tcp.h, which package syscall lacks.
const tcpUserTimeout = 18

// Options bound the time after which the kernel closes the connection of an unreachable peer.
type Options struct {
	Idle     time.Duration // before the first keepalive probe
	Interval time.Duration // between probes
	Count    int           // unanswered probes after which the connection is closed
}

// Timeout returns the time after which an unreachable peer's connection is closed. It is the user timeout too, the longest time that written data
// may stay unacknowledged: once that is set the kernel closes an idle connection by it, whatever the number of probes.
func (o Options) Timeout() time.Duration { return o.Idle + time.Duration(o.Count)*o.Interval }

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
		optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(o.Timeout()/time.Millisecond))
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

// AwaitBytes waits until a TCP connection has bytes to read, and returns io.EOF if it has ended instead. It uses no buffer. Of other
// connections it is not known: it then returns false at once.
func AwaitBytes(conn net.Conn) (known bool, err error) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false, nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true, err
	}
	var n int
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, peekErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return peekErr != syscall.EAGAIN && peekErr != syscall.EINTR
	})
	switch {
	case err != nil:
		return true, err
	case peekErr != nil:
		return true, peekErr
	case n == 0:
		return true, io.EOF
	}
	return true, nil
}

// SetBuffers returns a Control function of net.ListenConfig or net.Dialer that sets the sizes of the kernel's buffers of a connection, or of
// all that a listener accepts. The kernel doubles them for its own use. Zero leaves a size to the kernel.
func SetBuffers(receive, send int) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var optErr error
		err := c.Control(func(fd uintptr) {
			for option, size := range map[int]int{syscall.SO_RCVBUF: receive, syscall.SO_SNDBUF: send} {
				if size > 0 {
					optErr = errors.Join(optErr, syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, option, size))
				}
			}
		})
		return errors.Join(err, optErr)
	}
}
