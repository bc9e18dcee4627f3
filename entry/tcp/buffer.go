package tcp

import (
	"fmt"
	"syscall"

	"golang.org/x/sys/unix"
)

// SetReceiveBuffer fixes the size in bytes of the kernel's receive buffer of a socket, which otherwise grows with what arrives.
func SetReceiveBuffer(c syscall.RawConn, size int) error {
	var optionErr error
	if err := c.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size)
	}); err != nil {
		return fmt.Errorf("set SO_RCVBUF: %w", err)
	}
	if optionErr != nil {
		return fmt.Errorf("set SO_RCVBUF: %w", optionErr)
	}
	return nil
}
