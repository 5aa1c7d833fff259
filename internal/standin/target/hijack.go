package target

import (
	"fmt"
	"net/http"
	"time"
)

// crossedLifetime is how long the connection of crossed answers stays open.
const crossedLifetime = 5 * time.Second

// hijack writes an answer that breaks HTTP/1.1 to the bare connection.
func hijack(w http.ResponseWriter, body []byte, faults Faults) {
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
	other := []byte(`{"service":"other","request":"other"}`)
	for _, b := range [][]byte{body, other} {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
			len(b), b)
	}
	time.AfterFunc(crossedLifetime, func() { _ = conn.Close() })
}
