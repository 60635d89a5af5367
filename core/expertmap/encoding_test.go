package expertmap

import (
	"math/rand/v2"
	"reflect"
	"testing"
)

// spreadLayout returns a layout with the experts in turn and some moved and copied ones.
func spreadLayout(ranks, sets, experts, extra int, seed uint64) Layout {
	rnd := rand.New(rand.NewPCG(seed, 1))
	l := make(Layout, ranks)
	for r := range l {
		l[r] = make([][]int, sets)
		for s := range l[r] {
			for e := r; e < experts; e += ranks {
				l[r][s] = append(l[r][s], e)
			}
			for range extra {
				l[r][s] = append(l[r][s], rnd.IntN(experts))
			}
		}
	}
	return l
}

// Guards against layouts that change on their way, and against maps that take a second
// to get to 64 ranks on a link of 6 Mbit/s.
func TestEncodedLayout(t *testing.T) {
	for _, c := range []struct {
		ranks, sets, experts, extra, maxBytes int
	}{
		{0, 0, 0, 0, 20},
		{1, 1, 1, 0, 20},
		{12, 3, 96, 3, 600},
		{64, 12, 256, 1, 2500},
	} {
		l := spreadLayout(c.ranks, c.sets, c.experts, c.extra, 3)
		b, err := l.Encode()
		if err != nil {
			t.Fatalf("encode: %v", err)
		}
		got, err := DecodeLayout(b)
		if err != nil {
			t.Fatalf("decode: %v", err)
		}
		if !reflect.DeepEqual(got, l) {
			t.Errorf("%d ranks: got another layout", c.ranks)
		}
		t.Logf("%d ranks, %d sets, %d experts: %d bytes", c.ranks, c.sets, c.experts, len(b))
		if len(b) > c.maxBytes {
			t.Errorf("%d ranks: got %d bytes, want at most %d", c.ranks, len(b), c.maxBytes)
		}
	}
	if _, err := (Layout{{{1}}, {}}).Encode(); err == nil {
		t.Error("layout with a set missing: got no error, want one")
	}
}

// Guards against bytes of a peer that end the process or allocate without a bound.
func FuzzDecodeLayout(f *testing.F) {
	b, err := spreadLayout(4, 2, 16, 1, 1).Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte{})
	f.Add(b[:len(b)/2])
	f.Fuzz(func(t *testing.T, data []byte) {
		l, err := DecodeLayout(data)
		if err != nil {
			return
		}
		if len(l) > 0 {
			if _, err := l.Encode(); err != nil {
				t.Errorf("encode a decoded layout: %v", err)
			}
		}
	})
}

// Guards against a layout without a compact form whose error is lost.
func TestErrorOfTheEncodingIsKept(t *testing.T) {
	c := &ChangeCoordinator{version: 1, target: Layout{{{1}}, {}}}
	if got := c.encodedTarget(); got != nil || c.EncodeError() == nil {
		t.Errorf("incomplete layout: got %d bytes (%v), want an error", len(got), c.EncodeError())
	}
	c.version, c.target = 2, Layout{{{1}}, {{2}}}
	if got := c.encodedTarget(); len(got) == 0 || c.EncodeError() != nil {
		t.Errorf("complete layout: got %d bytes (%v), want its compact form", len(got), c.EncodeError())
	}
}
