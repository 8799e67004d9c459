package pipeline

import (
	"net"
	"syscall"
	"time"
)

const (
	// userTimeout is the longest time that written data may stay unacknowledged before the kernel
	// closes the connection.
	userTimeout = 5 * time.Second
	// tcpUserTimeout is TCP_USER_TIMEOUT of linux/tcp.h, which package syscall lacks.
	tcpUserTimeout = 18
)

// listener wraps accepted connections and sets their TCP options.
type listener struct{ net.Listener }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		// A failure leaves the system's defaults, with which a silent caller is noticed later.
		_ = setTCPOptions(tcp)
	}
	return &watchedConn{Conn: conn}, nil
}

func setTCPOptions(tcp *net.TCPConn) error {
	keepalive := net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}
	if err := tcp.SetKeepAliveConfig(keepalive); err != nil {
		return err
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var opt error
	err = raw.Control(func(fd uintptr) {
		opt = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return opt
}
