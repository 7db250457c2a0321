package fakes

import (
	"net"
	"sync"
	"sync/atomic"
)

// Valve is a connection that can be made to carry nothing in one or both directions while it stays open,
// as when something between the two ends has forgotten it. It is made by NewValve.
type Valve struct {
	net.Conn
	Ended chan struct{} // closed when the user of the connection has closed it

	shutIn, shutOut atomic.Bool
	once            sync.Once
}

// NewValve returns an open valve on a connection.
func NewValve(c net.Conn) *Valve { return &Valve{Conn: c, Ended: make(chan struct{})} }

// ShutIn drops everything that arrives from now on.
func (v *Valve) ShutIn() { v.shutIn.Store(true) }

// ShutOut drops everything that is written from now on.
func (v *Valve) ShutOut() { v.shutOut.Store(true) }

// Read reads what arrives while the valve is open. A shut one hides also that the other end has closed.
func (v *Valve) Read(p []byte) (n int, err error) {
	for {
		n, err = v.Conn.Read(p)
		switch {
		case !v.shutIn.Load():
			return n, err
		case err != nil:
			<-v.Ended
			return 0, err
		}
	}
}

// Write writes while the valve is open, and reports a success in any case.
func (v *Valve) Write(p []byte) (int, error) {
	if v.shutOut.Load() {
		return len(p), nil
	}
	return v.Conn.Write(p)
}

// Close closes the connection.
func (v *Valve) Close() error {
	err := v.Conn.Close()
	v.once.Do(func() { close(v.Ended) })
	return err
}
