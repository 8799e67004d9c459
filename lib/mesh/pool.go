package mesh

import (
	"context"
	"errors"
	"net/rpc"
	"reflect"
	"sync"

	"github.com/rotisserie/eris"

	"cuminhook.org/cuminhook/lib/peer"
)

// pool keeps one connection per address.
type pool struct {
	transport Transport
	metrics   *nodeMetrics
	clock     func() instant

	mu     sync.Mutex
	conns  map[string]*poolConn // guarded by mu
	closed bool                 // guarded by mu
}

type poolConn struct {
	addr   string
	conn   *meteredConn
	client *rpc.Client
	used   instant // guarded by pool.mu
}

func newPool(t Transport, m *nodeMetrics, clock func() instant) *pool {
	return &pool{transport: t, metrics: m, clock: clock, conns: map[string]*poolConn{}}
}

// call calls method at addr. Errors: peer.ErrUnreachable, peer.ErrTimeout, rpc.ServerError. A connection that
// missed a deadline is closed, because it may be silent permanently.
func (p *pool) call(ctx context.Context, addr, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c, err := p.get(ctx, addr)
	if err != nil {
		p.metrics.failure("unreachable").Inc()
		return eris.Wrapf(peer.ErrUnreachable, "dial %s: %v", addr, err)
	}
	// A late answer is decoded into a value that nobody reads.
	into := reflect.New(reflect.TypeOf(reply).Elem())
	result := make(chan *rpc.Call, 1)
	sending := make(chan struct{})
	go func() {
		defer close(sending)
		c.client.Go(method, args, into.Interface(), result)
	}()
	select {
	case call := <-result:
		return p.finish(c, call, reply, into)
	case <-ctx.Done():
		p.drop(c)
		<-sending // args are no longer read; the closed connection ends the write
		p.metrics.failure("timeout").Inc()
		return eris.Wrapf(peer.ErrTimeout, "%s at %s", method, addr)
	}
}

func (p *pool) finish(c *poolConn, call *rpc.Call, reply any, into reflect.Value) error {
	var server rpc.ServerError
	switch {
	case call.Error == nil:
		reflect.ValueOf(reply).Elem().Set(into.Elem())
		return nil
	case errors.As(call.Error, &server):
		p.metrics.failure("refused").Inc()
		return server
	default:
		p.drop(c)
		p.metrics.failure("broken").Inc()
		return eris.Wrapf(peer.ErrTimeout, "%s at %s: %v", call.ServiceMethod, c.addr, call.Error)
	}
}

func (p *pool) get(ctx context.Context, addr string) (*poolConn, error) {
	if c := p.idle(addr); c != nil {
		return c, nil
	}
	conn, err := p.transport.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	m := &meteredConn{Conn: conn, metrics: p.metrics}
	c := &poolConn{addr: addr, conn: m, client: rpc.NewClient(m), used: p.clock()}
	p.mu.Lock()
	other := p.conns[addr]
	lost := p.closed || other != nil && !other.conn.failed.Load()
	if !lost {
		p.conns[addr] = c
	}
	closed := p.closed
	p.mu.Unlock()
	if !lost {
		return c, nil
	}
	c.client.Close()
	if closed {
		return nil, rpc.ErrShutdown
	}
	return other, nil
}

// idle returns the open connection to addr, if there is one.
func (p *pool) idle(addr string) *poolConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.conns[addr]
	if c == nil || c.conn.failed.Load() {
		return nil
	}
	c.used = p.clock()
	return c
}

func (p *pool) drop(c *poolConn) {
	p.mu.Lock()
	if p.conns[c.addr] == c {
		delete(p.conns, c.addr)
	}
	p.mu.Unlock()
	c.conn.Close()
}

// expire closes failed connections and those unused for idleLimit.
func (p *pool) expire(now instant) {
	p.mu.Lock()
	var old []*poolConn
	for addr, c := range p.conns {
		if c.conn.failed.Load() || now-c.used > idleLimit {
			delete(p.conns, addr)
			old = append(old, c)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		c.conn.Close()
	}
}

func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	conns := p.conns
	p.conns = map[string]*poolConn{}
	p.mu.Unlock()
	for _, c := range conns {
		c.conn.Close()
	}
}
