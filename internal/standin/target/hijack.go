package target

import (
	"fmt"
	"net/http"
	"time"
)

// crossedLifetime is how long the connection stays open after the answers of the fault Crossed.
const crossedLifetime = 5 * time.Second

// writeMalformed writes an answer that violates HTTP/1.1 directly to the connection: a truncated one without framing, or an
// unsolicited second one.
func writeMalformed(w http.ResponseWriter, body []byte, faults Faults) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if faults.CutUnframed {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n%s",
			body[:len(body)/2])
		_ = conn.Close()
		return
	}
	otherAnswer := []byte(`{"service":"other","request":"other"}`)
	for _, b := range [][]byte{body, otherAnswer} {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
			len(b), b)
	}
	time.AfterFunc(crossedLifetime, func() { _ = conn.Close() })
}
