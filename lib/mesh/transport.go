package mesh

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// Transport opens connections between hosts.
type Transport interface {
	Listen(ctx context.Context, addr string) (net.Listener, error)
	Dial(ctx context.Context, addr string) (net.Conn, error)
}

// TCP is the Transport over TCP.
type TCP struct{}

// Listen listens on addr.
func (TCP) Listen(ctx context.Context, addr string) (net.Listener, error) {
	var lc net.ListenConfig
	return lc.Listen(ctx, "tcp", addr)
}

// Dial connects to addr.
func (TCP) Dial(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

// meteredConn counts bytes, sets a deadline on each write and records whether the connection has failed or was closed.
type meteredConn struct {
	net.Conn
	metrics *nodeMetrics
	failed  atomic.Bool
}

func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.metrics.receivedBytes.Add(n)
	if err != nil {
		c.failed.Store(true)
	}
	return n, err
}

func (c *meteredConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(callTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.metrics.sentBytes.Add(n)
	if err != nil {
		c.failed.Store(true)
	}
	return n, err
}

func (c *meteredConn) Close() error {
	c.failed.Store(true)
	return c.Conn.Close()
}
