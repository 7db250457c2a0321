package closer

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"briarworks.example/briarworks/pkg/ident"
)

// Unacknowledged returns how many bytes were written to a TCP connection and are not acknowledged by the peer's system
// (SIOCOUTQ, tcp(7)). It fails for other connections and for closed ones.
func Unacknowledged(nc net.Conn) (n ident.Bytes, err error) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return 0, errors.ErrUnsupported
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	var queued int
	var ioctlErr error
	if err := raw.Control(func(fd uintptr) { queued, ioctlErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }); err != nil {
		return 0, err
	}
	return ident.Bytes(queued), ioctlErr
}
