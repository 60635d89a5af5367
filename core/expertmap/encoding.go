package expertmap

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"fmt"
	"io"

	"nutmegnotch/core"
)

// maxLayoutBytes limits an encoded layout before its compression.
const maxLayoutBytes = 1 << 20

// Encode returns a compact form of a layout. The lists are encoded as differences, since
// the experts of a rank are mostly at equal distances, and compressed. The order in the
// lists is kept.
func (l Layout) Encode() ([]byte, error) {
	sets := 0
	if len(l) > 0 {
		sets = len(l[0])
	}
	raw := binary.AppendUvarint(nil, uint64(len(l)))
	raw = binary.AppendUvarint(raw, uint64(sets))
	for r, rank := range l {
		if len(rank) != sets {
			return nil, fmt.Errorf("rank %d has %d sets, rank 0 has %d: %w", r, len(rank), sets, core.ErrInvalid)
		}
		for _, list := range rank {
			raw = binary.AppendUvarint(raw, uint64(len(list)))
			last := 0
			for _, e := range list {
				raw = binary.AppendVarint(raw, int64(e-last))
				last = e
			}
		}
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.DefaultCompression)
	if err != nil {
		return nil, fmt.Errorf("compress layout: %w", err)
	}
	if _, err := w.Write(raw); err != nil {
		return nil, fmt.Errorf("compress layout: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress layout: %w", err)
	}
	return b.Bytes(), nil
}

// DecodeLayout is the inverse of Encode.
func DecodeLayout(b []byte) (Layout, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b)), maxLayoutBytes))
	if err != nil {
		return nil, fmt.Errorf("decompress layout: %w: %w", err, core.ErrInvalid)
	}
	r := bytes.NewReader(raw)
	ranks, err := readCount(r)
	if err != nil {
		return nil, err
	}
	sets, err := readCount(r)
	if err != nil {
		return nil, err
	}
	// Each list has at least one byte.
	if sets > 0 && ranks > r.Len()/sets || sets == 0 && ranks > 0 {
		return nil, fmt.Errorf("layout of %d ranks and %d sets in %d bytes: %w", ranks, sets, r.Len(), core.ErrInvalid)
	}
	l := make(Layout, ranks)
	for i := range l {
		l[i] = make([][]int, sets)
		for s := range l[i] {
			if l[i][s], err = readExperts(r); err != nil {
				return nil, err
			}
		}
	}
	return l, nil
}

func readExperts(r *bytes.Reader) ([]int, error) {
	n, err := readCount(r)
	if err != nil {
		return nil, err
	}
	list := make([]int, n)
	last := int64(0)
	for i := range list {
		d, err := binary.ReadVarint(r)
		if err != nil {
			return nil, fmt.Errorf("read expert: %w: %w", err, core.ErrInvalid)
		}
		last += d
		list[i] = int(last)
	}
	return list, nil
}

// readCount reads the number of items that follow, each of which has a byte or more.
func readCount(r *bytes.Reader) (int, error) {
	n, err := binary.ReadUvarint(r)
	if err != nil {
		return 0, fmt.Errorf("read count: %w: %w", err, core.ErrInvalid)
	}
	if n > uint64(r.Len()) {
		return 0, fmt.Errorf("%d items in %d bytes: %w", n, r.Len(), core.ErrInvalid)
	}
	return int(n), nil
}
