package gossip

import (
	"bytes"
	"cmp"
	"compress/flate"
	"fmt"
	"io"
	"slices"

	"endivehitch/core/policy"
	"endivehitch/io/plat"
)

// packFrom is the size in bytes from which compression pays.
const packFrom = 1 << 10

// bundle is the configuration's entries up to a revision; it is immutable.
type bundle struct {
	revision int64
	items    policy.Table[string, wireEntry]
}

// wireEntry is an entry as instances send it.
type wireEntry struct {
	Key      string
	Revision int64
	Value    []byte
	// Packed says that Value is compressed.
	Packed bool
}

// With returns a bundle that holds the entry, unless it has a newer one for the key.
func (b bundle) With(e wireEntry) bundle {
	if have, ok := b.items.Get(e.Key); ok && have.Revision >= e.Revision {
		return b
	}
	b.items = b.items.With(e.Key, e)
	b.revision = max(b.revision, e.Revision)
	return b
}

// after returns the entries of later revisions, in the order of revisions.
func (b bundle) after(revision int64) []wireEntry {
	var later []wireEntry
	for _, e := range b.items.All() {
		if e.Revision > revision {
			later = append(later, e)
		}
	}
	slices.SortFunc(later, func(x, y wireEntry) int { return cmp.Compare(x.Revision, y.Revision) })
	return later
}

func pack(e plat.Entry) (wireEntry, error) {
	w := wireEntry{Key: e.Key, Revision: e.Revision, Value: e.Value}
	if len(e.Value) < packFrom {
		return w, nil
	}
	var out bytes.Buffer
	packer, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		return wireEntry{}, fmt.Errorf("make compressor: %w", err)
	}
	if _, err := packer.Write(e.Value); err != nil {
		return wireEntry{}, fmt.Errorf("compress %s: %w", e.Key, err)
	}
	if err := packer.Close(); err != nil {
		return wireEntry{}, fmt.Errorf("compress %s: %w", e.Key, err)
	}
	w.Value = out.Bytes()
	w.Packed = true
	return w, nil
}

func (w wireEntry) unpack() (plat.Entry, error) {
	e := plat.Entry{Key: w.Key, Revision: w.Revision, Value: w.Value}
	if !w.Packed {
		return e, nil
	}
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(w.Value)), plat.ValueLimit+1))
	if err != nil {
		return plat.Entry{}, fmt.Errorf("decompress %s: %w", w.Key, err)
	}
	if len(plain) > plat.ValueLimit {
		return plat.Entry{}, fmt.Errorf("decompress %s: more than %d bytes", w.Key, plat.ValueLimit)
	}
	e.Value = plain
	return e, nil
}
