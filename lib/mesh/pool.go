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

// pool is a connection pool with one RPC connection per address.
type pool struct {
	transport Transport
	metrics   *nodeMetrics
	clock     func() instant

	mu     sync.Mutex
	conns  map[string]*poolConn // guarded by mu
	closed bool                 // guarded by mu
}

// poolConn is a pooled connection and its RPC client.
type poolConn struct {
	addr     string
	conn     *meteredConn
	client   *rpc.Client
	lastUsed instant // guarded by pool.mu
}

func newPool(t Transport, m *nodeMetrics, clock func() instant) *pool {
	return &pool{transport: t, metrics: m, clock: clock, conns: map[string]*poolConn{}}
}

// call calls method at addr. It returns peer.ErrUnreachable, an rpc.ServerError, or peer.ErrTimeout, also if the
// connection breaks. A connection on which a call timed out is closed, because it may never deliver an answer again.
func (p *pool) call(ctx context.Context, addr, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c, err := p.connection(ctx, addr)
	if err != nil {
		p.metrics.callFailures("unreachable").Inc()
		return eris.Wrapf(peer.ErrUnreachable, "dial %s: %v", addr, err)
	}
	// The answer is decoded into a separate value, so that a late one does not write to reply after the return.
	value := reflect.New(reflect.TypeOf(reply).Elem())
	result := make(chan *rpc.Call, 1)
	sending := make(chan struct{})
	go func() {
		defer close(sending)
		c.client.Go(method, args, value.Interface(), result)
	}()
	select {
	case call := <-result:
		return p.handleResult(c, call, reply, value)
	case <-ctx.Done():
		p.discard(c)
		<-sending // wait until args are no longer read; closing the connection ends the write
		p.metrics.callFailures("timeout").Inc()
		return eris.Wrapf(peer.ErrTimeout, "%s at %s", method, addr)
	}
}

// handleResult copies the decoded answer to reply, or returns the error of a finished call. It discards a broken
// connection.
func (p *pool) handleResult(c *poolConn, call *rpc.Call, reply any, value reflect.Value) error {
	var serverErr rpc.ServerError
	switch {
	case call.Error == nil:
		reflect.ValueOf(reply).Elem().Set(value.Elem())
		return nil
	case errors.As(call.Error, &serverErr):
		p.metrics.callFailures("refused").Inc()
		return serverErr
	default:
		p.discard(c)
		p.metrics.callFailures("broken").Inc()
		return eris.Wrapf(peer.ErrTimeout, "%s at %s: %v", call.ServiceMethod, c.addr, call.Error)
	}
}

// connection returns the pooled connection to addr, or dials a new one. If another caller has stored a connection
// meanwhile, the new one is closed and the stored one returned.
func (p *pool) connection(ctx context.Context, addr string) (*poolConn, error) {
	if c := p.openConnection(addr); c != nil {
		return c, nil
	}
	conn, err := p.transport.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	m := &meteredConn{Conn: conn, metrics: p.metrics}
	c := &poolConn{addr: addr, conn: m, client: rpc.NewClient(m), lastUsed: p.clock()}
	p.mu.Lock()
	other := p.conns[addr]
	discardNew := p.closed || other != nil && !other.conn.failed.Load()
	if !discardNew {
		p.conns[addr] = c
	}
	closed := p.closed
	p.mu.Unlock()
	if !discardNew {
		return c, nil
	}
	c.client.Close()
	if closed {
		return nil, rpc.ErrShutdown
	}
	return other, nil
}

// openConnection returns the pooled connection to addr, or nil if there is none or it has failed.
func (p *pool) openConnection(addr string) *poolConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.conns[addr]
	if c == nil || c.conn.failed.Load() {
		return nil
	}
	c.lastUsed = p.clock()
	return c
}

// discard removes c from the pool and closes it.
func (p *pool) discard(c *poolConn) {
	p.mu.Lock()
	if p.conns[c.addr] == c {
		delete(p.conns, c.addr)
	}
	p.mu.Unlock()
	c.conn.Close()
}

// expire closes failed connections and those unused for idleConnTimeout.
func (p *pool) expire(now instant) {
	p.mu.Lock()
	var old []*poolConn
	for addr, c := range p.conns {
		if c.conn.failed.Load() || now-c.lastUsed > idleConnTimeout {
			delete(p.conns, addr)
			old = append(old, c)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		c.conn.Close()
	}
}

// close closes all connections and prevents new ones.
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
