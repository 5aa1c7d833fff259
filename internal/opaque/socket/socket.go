// Package socket receives the datagrams of opaque flows, and serves the HTTP requests of the platform.
package socket

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"gentianswitch/internal/opaque/hop"
)

// maxDatagramBytes is the MTU of Ethernet, and so an upper bound of a datagram that one frame carries.
const maxDatagramBytes = 1500

// readHeaderTimeout bounds the time to read the header of a request. The platform abandons its requests after a second.
const readHeaderTimeout = time.Second

// ServeHTTP serves HTTP requests at address until ctx ends.
func ServeHTTP(ctx context.Context, address netip.AddrPort, handler http.Handler) error {
	server := &http.Server{Addr: address.String(), Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.ListenAndServe()
	if ctx.Err() != nil {
		return nil
	}
	return eris.Wrapf(err, "serve on %s", address)
}

// DatagramHandler handles one datagram. The slice is valid until the handler returns. It has capacity for a trailer (package
// hop) behind the datagram.
type DatagramHandler func(datagram []byte, from netip.AddrPort)

// Receive calls handle for each datagram until ctx ends or the socket is closed.
func Receive(ctx context.Context, socket *net.UDPConn, handle DatagramHandler) error {
	buffer := make([]byte, maxDatagramBytes+hop.MaxTrailer)
	for {
		size, from, err := socket.ReadFromUDPAddrPort(buffer[:maxDatagramBytes])
		switch {
		case err == nil:
			handle(buffer[:size], from)
		case errors.Is(err, net.ErrClosed) || ctx.Err() != nil:
			return nil
		}
		// Any other error means that a datagram sent earlier had no receiver. Missing pongs and heartbeats show which receiver is
		// gone.
	}
}
