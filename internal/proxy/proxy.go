package proxy

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Proxy passes the connections to one address on to another one, and holds up, delays or resets them. What is
// held up passes once the proxy is open again. The zero value has to be started.
type Proxy struct {
	target  atomic.Pointer[string]
	delay   atomic.Int64 // ns for which each piece of bytes waits
	forward valve
	back    valve

	ln    net.Listener
	mu    sync.Mutex // guards conns and ended
	conns map[net.Conn]struct{}
	ended bool
	wg    sync.WaitGroup
}

// valve lets bytes pass while it is open.
type valve struct {
	mu   sync.Mutex
	shut chan struct{} // closed when the valve opens; nil while it is open
}

func (v *valve) set(shut bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case shut && v.shut == nil:
		v.shut = make(chan struct{})
	case !shut && v.shut != nil:
		close(v.shut)
		v.shut = nil
	}
}

// pass waits until the valve is open.
func (v *valve) pass() {
	for {
		v.mu.Lock()
		shut := v.shut
		v.mu.Unlock()
		if shut == nil {
			return
		}
		<-shut
	}
}

// Start listens on addr and passes connections on to target.
func (p *Proxy) Start(addr, target string) (err error) {
	p.Target(target)
	p.conns = make(map[net.Conn]struct{})
	if p.ln, err = net.Listen("tcp", addr); err != nil {
		return err
	}
	p.wg.Go(p.serve)
	return nil
}

// Addr returns the address on which the proxy listens.
func (p *Proxy) Addr() string { return p.ln.Addr().String() }

// Target changes where new connections go.
func (p *Proxy) Target(addr string) { p.target.Store(&addr) }

// Delay makes each piece of bytes wait.
func (p *Proxy) Delay(d time.Duration) { p.delay.Store(int64(d)) }

// Mute holds up what goes to the target, what comes back, or both.
func (p *Proxy) Mute(forward, back bool) {
	p.forward.set(forward)
	p.back.set(back)
}

// Reset resets all connections that are open.
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

// Close ends the proxy and waits for its goroutines; it does nothing on one that was not started.
func (p *Proxy) Close() {
	if p.ln == nil {
		return
	}
	p.mu.Lock()
	p.ended = true
	p.mu.Unlock()
	_ = p.ln.Close()
	p.Reset()
	p.Mute(false, false)
	p.wg.Wait()
}

func (p *Proxy) serve() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		p.wg.Go(func() { p.join(c) })
	}
}

// join connects a connection to the target. While nothing passes towards the target, not even the connection
// is made.
func (p *Proxy) join(c net.Conn) {
	if !p.add(c) {
		return
	}
	defer p.remove(c)
	p.forward.pass()
	t, err := net.DialTimeout("tcp", *p.target.Load(), time.Second)
	if err != nil || !p.add(t) {
		return
	}
	defer p.remove(t)
	p.wg.Go(func() { p.copy(t, c, &p.forward) })
	p.copy(c, t, &p.back)
}

// copy passes bytes on until the source ends.
func (p *Proxy) copy(dst, src net.Conn, v *valve) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if d := time.Duration(p.delay.Load()); d > 0 {
			time.Sleep(d)
		}
		v.pass()
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

func (p *Proxy) add(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
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
