package proxy

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Proxy forwards connections from one address to another, and delays, blocks or resets them. Blocked data is
// forwarded once the proxy is unblocked. The zero value is ready for Start. A started Proxy is safe for
// concurrent use.
type Proxy struct {
	target  atomic.Pointer[string]
	delay   atomic.Int64 // ns before each chunk of data is forwarded
	forward gate         // to the target
	back    gate         // from the target

	ln     net.Listener
	mu     sync.Mutex // guards conns and closed
	conns  map[net.Conn]struct{}
	closed bool
	wg     sync.WaitGroup
}

// gate blocks the data of one direction while it is shut.
type gate struct {
	mu     sync.Mutex
	opened chan struct{} // closed when the gate opens; nil while it is open
}

func (g *gate) setShut(shut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case shut && g.opened == nil:
		g.opened = make(chan struct{})
	case !shut && g.opened != nil:
		close(g.opened)
		g.opened = nil
	}
}

// wait blocks until the gate is open.
func (g *gate) wait() {
	for {
		g.mu.Lock()
		opened := g.opened
		g.mu.Unlock()
		if opened == nil {
			return
		}
		<-opened
	}
}

// Start listens on addr and forwards connections to target. It returns the error of listening.
func (p *Proxy) Start(addr, target string) (err error) {
	p.SetTarget(target)
	p.conns = make(map[net.Conn]struct{})
	if p.ln, err = net.Listen("tcp", addr); err != nil {
		return err
	}
	p.wg.Go(p.accept)
	return nil
}

// Addr returns the address on which the proxy listens.
func (p *Proxy) Addr() string { return p.ln.Addr().String() }

// SetTarget sets the address to which new connections are forwarded.
func (p *Proxy) SetTarget(addr string) { p.target.Store(&addr) }

// SetDelay sets the time for which each chunk of data is delayed.
func (p *Proxy) SetDelay(d time.Duration) { p.delay.Store(int64(d)) }

// Block blocks or unblocks the data to the target and the data from the target.
func (p *Proxy) Block(forward, back bool) {
	p.forward.setShut(forward)
	p.back.setShut(back)
}

// Reset resets all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Close stops listening, resets all connections and waits for the goroutines to end. It has no effect on a
// proxy that was not started.
func (p *Proxy) Close() {
	if p.ln == nil {
		return
	}
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.ln.Close()
	p.Reset()
	p.Block(false, false)
	p.wg.Wait()
}

func (p *Proxy) accept() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		p.wg.Go(func() { p.forwardConn(c) })
	}
}

// forwardConn forwards a connection to the target. While data to the target is blocked, it does not dial the
// target either.
func (p *Proxy) forwardConn(c net.Conn) {
	if !p.add(c) {
		return
	}
	defer p.remove(c)
	p.forward.wait()
	target, err := net.DialTimeout("tcp", *p.target.Load(), time.Second)
	if err != nil || !p.add(target) {
		return
	}
	defer p.remove(target)
	p.wg.Go(func() { p.copy(target, c, &p.forward) })
	p.copy(c, target, &p.back)
}

// copy forwards data from src to dst until an error or the end of src, and then closes dst for writing.
func (p *Proxy) copy(dst, src net.Conn, g *gate) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if d := time.Duration(p.delay.Load()); d > 0 {
			time.Sleep(d)
		}
		g.wait()
		if n > 0 {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	if t, ok := dst.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}

// add registers an open connection. It closes the connection and returns false if the proxy is closed.
func (p *Proxy) add(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close()
		return false
	}
	p.conns[c] = struct{}{}
	return true
}

func (p *Proxy) remove(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	_ = c.Close()
}
