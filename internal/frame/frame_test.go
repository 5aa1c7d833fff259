package frame_test

import (
	"bytes"
	"encoding/binary"
	"io"
	"net/netip"
	"strings"
	"testing"
	"testing/iotest"

	"gentianswitch/internal/control"
	"gentianswitch/internal/frame"
	"gentianswitch/internal/member"
)

func encoded(t testing.TB, value any) []byte {
	t.Helper()
	var out bytes.Buffer
	if err := frame.Write(&out, value); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

func framed(body []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}

func sample() control.Message {
	return control.Message{Announce: &control.Announce{Target: member.Target{
		Agent: netip.MustParseAddrPort("10.0.0.1:4400"), Service: 3, Zone: "quito", Slots: 5, State: member.Ready,
	}}}
}

func TestReadReturnsWhatWasWritten(t *testing.T) {
	stream := append(encoded(t, sample()), encoded(t, sample())...)
	r := iotest.OneByteReader(bytes.NewReader(stream))
	for range 2 {
		var m control.Message
		if err := frame.Read(r, &m); err != nil || m.Announce == nil || *m.Announce != *sample().Announce {
			t.Fatalf("got %+v, %v", m, err)
		}
	}
	var m control.Message
	if err := frame.Read(r, &m); err != io.EOF {
		t.Errorf("got %v at the end, expected %v", err, io.EOF)
	}
}

func TestReadRefuses(t *testing.T) {
	whole := encoded(t, sample())
	// A body that is nothing but nested arrays, as deep as a frame can hold.
	nested := append([]byte{0x81, 0xa1, 'x'}, bytes.Repeat([]byte{0x91}, frame.MaxSize-4)...)
	tests := []struct {
		name   string
		stream []byte
		want   string
	}{
		{"cut within the length", whole[:3], "read frame length"},
		{"cut within the body", whole[:len(whole)-1], "read frame body"},
		{"length above the limit", []byte{0xff, 0xff, 0xff, 0xff}, "larger than 4 MiB"},
		{"empty body", framed(nil), "decode frame"},
		{"bytes after the value", framed(append(whole[4:], 0xc0)), "decode frame"},
		{"no msgpack", framed([]byte{0xc1}), "decode frame"},
		{"deeply nested arrays", framed(append(nested, 0xc0)), "decode frame"},
		{"array that takes 30 times its size", framed(append([]byte("\x81\xa6status\x81\xa7targets\xdd\x00\x3f\xff\x00"), bytes.Repeat([]byte{0x80}, 0x3fff00)...)), "decode frame"},
		{"array longer than the body", framed([]byte("\x81\xa6status\x81\xa7targets\xdd\xff\xff\xff\xff")), "decode frame"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var m control.Message
			err := frame.Read(bytes.NewReader(test.stream), &m)
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got %v, expected an error with %q", err, test.want)
			}
		})
	}
}

func TestWriteRefusesLargeValues(t *testing.T) {
	if err := frame.Write(io.Discard, make([]byte, frame.MaxSize)); err != frame.ErrTooLarge {
		t.Errorf("got %v, expected %v", err, frame.ErrTooLarge)
	}
}

func FuzzRead(f *testing.F) {
	f.Add(encoded(f, sample()))
	f.Add(framed([]byte("\x81\xa6status\x81\xa7targets\xdd\xff\xff\xff\xff")))
	f.Add([]byte{0, 0, 0, 9})
	f.Fuzz(func(t *testing.T, stream []byte) {
		var m control.Message
		if err := frame.Read(bytes.NewReader(stream), &m); err == nil {
			_ = encoded(t, m)
		}
	})
}

// BenchmarkAnnounce prints the bytes of an announcement's frame and the time to write and read it.
func BenchmarkAnnounce(b *testing.B) {
	value := sample()
	value.Announce.Target.Control = netip.MustParseAddrPort("10.0.0.1:4401")
	value.Announce.Target.Incarnation, value.Announce.Target.Sequence = 1<<50, 3
	var out bytes.Buffer
	var read control.Message
	for b.Loop() {
		out.Reset()
		if err := frame.Write(&out, value); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(out.Len()), "B")
		if err := frame.Read(&out, &read); err != nil {
			b.Fatal(err)
		}
	}
}
