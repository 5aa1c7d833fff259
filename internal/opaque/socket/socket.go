// Package socket receives the datagrams of opaque flows and the calls of the platform.
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

// bufferBytes holds the largest datagram that an Ethernet frame carries.
const bufferBytes = 1500

// readHeaderTimeout bounds the head of a request of the platform, whose calls end after a second.
const readHeaderTimeout = time.Second

// ServeHTTP answers requests at address until ctx ends.
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

// Take handles one datagram, which is valid until it returns. Behind the datagram there is room for a trailer.
type Take func(datagram []byte, from netip.AddrPort)

// Receive calls take for each datagram until ctx ends or the socket is closed.
func Receive(ctx context.Context, socket *net.UDPConn, take Take) error {
	buffer := make([]byte, bufferBytes+hop.MaxTrailer)
	for {
		size, from, err := socket.ReadFromUDPAddrPort(buffer[:bufferBytes])
		switch {
		case err == nil:
			take(buffer[:size], from)
		case errors.Is(err, net.ErrClosed) || ctx.Err() != nil:
			return nil
		}
		// Any other error reports that an earlier datagram found no receiver. Pings and heartbeats tell which one is gone.
	}
}
