package connid_test

import (
	"net/netip"
	"testing"

	"pgregory.net/rapid"

	"gentianswitch/internal/class"
	"gentianswitch/internal/connid"
	"gentianswitch/internal/keys"
)

func newCodec(t testing.TB, current uint8, list ...keys.Key) *connid.Codec {
	t.Helper()
	set, err := keys.NewSet(list, current)
	if err != nil {
		t.Fatal(err)
	}
	c, err := connid.NewCodec(set)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

var (
	oldKey   = keys.Key{ID: 1, Secret: [keys.SecretSize]byte{1, 2, 3}}
	newKey   = keys.Key{ID: 2, Secret: [keys.SecretSize]byte{9, 8, 7}}
	sampleID = connid.ID{
		Agent: netip.MustParseAddrPort("10.1.2.3:4400"), Service: 7, Incarnation: 65535, Class: class.Long, Nonce: connid.MaxNonce,
	}
)

func anyID() *rapid.Generator[connid.ID] {
	return rapid.Custom(func(t *rapid.T) connid.ID {
		ip := [4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, "ip"))
		return connid.ID{
			Agent:       netip.AddrPortFrom(netip.AddrFrom4(ip), rapid.Uint16Min(1).Draw(t, "port")),
			Service:     rapid.Uint16().Draw(t, "service"),
			Incarnation: rapid.Uint16().Draw(t, "incarnation"),
			Class:       rapid.SampledFrom(class.All).Draw(t, "class"),
			Nonce:       rapid.Uint32Max(connid.MaxNonce).Draw(t, "nonce"),
		}
	})
}

func TestDecodeReturnsWhatWasEncoded(t *testing.T) {
	c := newCodec(t, 1, oldKey)
	rapid.Check(t, func(t *rapid.T) {
		id := anyID().Draw(t, "id")
		raw := c.Encode(id)
		decoded, err := c.Decode(raw[:])
		if err != nil || decoded != id {
			t.Fatalf("decoded %+v, %v; expected %+v", decoded, err, id)
		}
	})
}

func TestDecodeRejectsInvalidIDs(t *testing.T) {
	c := newCodec(t, 1, oldKey)
	good := c.Encode(sampleID)
	invalidClass, noPort := sampleID, sampleID
	invalidClass.Class = 0
	noPort.Agent = netip.AddrPortFrom(sampleID.Agent.Addr(), 0)
	withoutClass, withoutPort := c.Encode(invalidClass), c.Encode(noPort)
	otherSecret := newCodec(t, 1, keys.Key{ID: 1, Secret: newKey.Secret}).Encode(sampleID)
	otherID := newCodec(t, 2, newKey).Encode(sampleID)
	forged := good
	forged[5] ^= 1
	tests := []struct {
		name string
		raw  []byte
		want error
	}{
		{"empty", nil, connid.ErrSize},
		{"truncated", good[:connid.Size-1], connid.ErrSize},
		{"too long", append(good[:], 0), connid.ErrSize},
		{"unknown key", otherID[:], connid.ErrKey},
		{"key with the same ID and another secret", otherSecret[:], connid.ErrCheck},
		{"one bit flipped", forged[:], connid.ErrCheck},
		{"invalid class", withoutClass[:], connid.ErrCheck},
		{"port 0", withoutPort[:], connid.ErrCheck},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if _, err := c.Decode(test.raw); err != test.want {
				t.Errorf("got %v, expected %v", err, test.want)
			}
		})
	}
}

func TestIDsStayValidUntilTheirKeyIsRemoved(t *testing.T) {
	issued := newCodec(t, 1, oldKey).Encode(sampleID)
	steps := []struct {
		name  string
		codec *connid.Codec
		want  error
	}{
		{"both keys, the old one current", newCodec(t, 1, oldKey, newKey), nil},
		{"both keys, the new one current", newCodec(t, 2, oldKey, newKey), nil},
		{"the old key removed", newCodec(t, 2, newKey), connid.ErrKey},
	}
	for _, step := range steps {
		if _, err := step.codec.Decode(issued[:]); err != step.want {
			t.Errorf("%s: got %v, expected %v", step.name, err, step.want)
		}
	}
	if fresh := steps[1].codec.Encode(sampleID); fresh[0] != newKey.ID {
		t.Errorf("a new ID was made with key %d, expected %d", fresh[0], newKey.ID)
	}
}

func FuzzDecode(f *testing.F) {
	c := newCodec(f, 1, oldKey)
	good := c.Encode(sampleID)
	f.Add(good[:])
	f.Add(good[:5])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, raw []byte) {
		id, err := c.Decode(raw)
		if err != nil {
			return
		}
		if again := c.Encode(id); string(again[:]) != string(raw) {
			t.Errorf("accepted ID encodes to %x, expected %x", again, raw)
		}
	})
}
