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

// encodeFrame returns the frame that Write makes of value.
func encodeFrame(t testing.TB, value any) []byte {
	t.Helper()
	var out bytes.Buffer
	if err := frame.Write(&out, value); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// prependLength returns a frame with the given body, which need not be valid.
func prependLength(body []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}

func sampleMessage() control.Message {
	return control.Message{Announce: &control.Announce{Target: member.Target{
		Agent: netip.MustParseAddrPort("10.0.0.1:4400"), Service: 3, Zone: "quito", Slots: 5, State: member.Ready,
	}}}
}

func TestReadReturnsWhatWasWritten(t *testing.T) {
	stream := append(encodeFrame(t, sampleMessage()), encodeFrame(t, sampleMessage())...)
	r := iotest.OneByteReader(bytes.NewReader(stream))
	for range 2 {
		var m control.Message
		if err := frame.Read(r, &m); err != nil || m.Announce == nil || *m.Announce != *sampleMessage().Announce {
			t.Fatalf("got %+v, %v", m, err)
		}
	}
	var m control.Message
	if err := frame.Read(r, &m); err != io.EOF {
		t.Errorf("got %v at the end, expected %v", err, io.EOF)
	}
}

func TestReadRejectsMalformedFrames(t *testing.T) {
	whole := encodeFrame(t, sampleMessage())
	// Nested arrays, as deep as the size of a frame permits.
	nested := append([]byte{0x81, 0xa1, 'x'}, bytes.Repeat([]byte{0x91}, frame.MaxSize-4)...)
	tests := []struct {
		name   string
		stream []byte
		want   string
	}{
		{"truncated length", whole[:3], "read frame length"},
		{"truncated body", whole[:len(whole)-1], "read frame body"},
		{"length above the limit", []byte{0xff, 0xff, 0xff, 0xff}, "larger than 4 MiB"},
		{"empty body", prependLength(nil), "decode frame"},
		{"bytes after the value", prependLength(append(whole[4:], 0xc0)), "decode frame"},
		{"invalid msgpack", prependLength([]byte{0xc1}), "decode frame"},
		{"deeply nested arrays", prependLength(append(nested, 0xc0)), "decode frame"},
		{"array that needs 30 times its encoded size in memory", prependLength(append([]byte("\x81\xa6status\x81\xa7targets\xdd\x00\x3f\xff\x00"), bytes.Repeat([]byte{0x80}, 0x3fff00)...)), "decode frame"},
		{"array longer than the body", prependLength([]byte("\x81\xa6status\x81\xa7targets\xdd\xff\xff\xff\xff")), "decode frame"},
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

func TestWriteRejectsLargeValues(t *testing.T) {
	if err := frame.Write(io.Discard, make([]byte, frame.MaxSize)); err != frame.ErrTooLarge {
		t.Errorf("got %v, expected %v", err, frame.ErrTooLarge)
	}
}

func FuzzRead(f *testing.F) {
	f.Add(encodeFrame(f, sampleMessage()))
	f.Add(prependLength([]byte("\x81\xa6status\x81\xa7targets\xdd\xff\xff\xff\xff")))
	f.Add([]byte{0, 0, 0, 9})
	f.Fuzz(func(t *testing.T, stream []byte) {
		var m control.Message
		if err := frame.Read(bytes.NewReader(stream), &m); err == nil {
			_ = encodeFrame(t, m)
		}
	})
}

// BenchmarkAnnounce measures the size of the frame of an announcement and the time to write and read it.
func BenchmarkAnnounce(b *testing.B) {
	value := sampleMessage()
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
