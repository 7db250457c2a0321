package fakes

import (
	"net"
	"sync"
	"sync/atomic"
)

// Valve is a connection that can drop all data in one or both directions while it stays open, as when a
// device on the path, such as a firewall, has lost the state of the connection. It must be created with NewValve.
type Valve struct {
	net.Conn
	Ended chan struct{} // closed by Close

	shutIn, shutOut atomic.Bool
	once            sync.Once
}

// NewValve returns a Valve around c that drops nothing yet.
func NewValve(c net.Conn) *Valve { return &Valve{Conn: c, Ended: make(chan struct{})} }

// ShutIn drops all data that arrives from now on.
func (v *Valve) ShutIn() { v.shutIn.Store(true) }

// ShutOut drops all data that is written from now on.
func (v *Valve) ShutOut() { v.shutOut.Store(true) }

// Read reads from the connection. After ShutIn it drops the data and also hides that the peer has closed
// the connection: it blocks until Close and then returns the error of the connection.
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

// Write writes to the connection. After ShutOut it drops the data and reports success.
func (v *Valve) Write(p []byte) (int, error) {
	if v.shutOut.Load() {
		return len(p), nil
	}
	return v.Conn.Write(p)
}

// Close closes the connection and the channel Ended.
func (v *Valve) Close() error {
	err := v.Conn.Close()
	v.once.Do(func() { close(v.Ended) })
	return err
}
