package revision

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"gentianswitch/internal/frame"
)

// FuzzDecodeHead decodes arbitrary stored bytes and reads the log from them.
func FuzzDecodeHead(f *testing.F) {
	rows := []Row{poolRow(), routeRow("voice-messages", 4433)}
	head := Head{ID: id(2), Log: []Entry{{ID: id(2), Previous: id(1), Rows: rows}}}
	raw, err := head.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add(raw[:len(raw)/2])
	f.Add([]byte{})
	f.Fuzz(func(_ *testing.T, raw []byte) {
		h, err := DecodeHead(raw)
		if err != nil {
			return
		}
		h.EntriesSince(id(1))
		h.DeltaSince(id(1))
		view := View{Head: h, snapshot: tablesOf()}
		_, _ = view.Tables()
	})
}

// FuzzApply applies arbitrary bytes from a peer to an empty state.
func FuzzApply(f *testing.F) {
	raw, err := msgpack.Marshal(Revision{ID: id(1), Rows: []Row{poolRow(), routeRow("r1", 1)}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		var r Revision
		if frame.Decode(raw, &r) != nil {
			return
		}
		s := NewState()
		if s.Apply(r) == Applied && s.Tables().Check() != nil {
			t.Fatal("inconsistent tables are in force")
		}
	})
}
