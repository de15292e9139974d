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

// compressionThreshold is the size in bytes from which a value is compressed; smaller values gain
// little.
const compressionThreshold = 1 << 10

// entrySet holds the latest entry of each key of the configuration up to a revision; it is
// immutable.
type entrySet struct {
	revision int64
	entries  policy.Table[string, wireEntry]
}

// wireEntry is a configuration entry as instances send it to each other.
type wireEntry struct {
	Key      string
	Revision int64
	Value    []byte
	// Packed reports that Value is compressed with DEFLATE.
	Packed bool
}

// With returns a set that holds the entry, unless it has the same or a newer one for the key.
func (s entrySet) With(e wireEntry) entrySet {
	if known, ok := s.entries.Get(e.Key); ok && known.Revision >= e.Revision {
		return s
	}
	s.entries = s.entries.With(e.Key, e)
	s.revision = max(s.revision, e.Revision)
	return s
}

// entriesAfter returns the entries with later revisions, ordered by revision.
func (s entrySet) entriesAfter(revision int64) []wireEntry {
	var later []wireEntry
	for _, e := range s.entries.All() {
		if e.Revision > revision {
			later = append(later, e)
		}
	}
	slices.SortFunc(later, func(x, y wireEntry) int { return cmp.Compare(x.Revision, y.Revision) })
	return later
}

// encodeEntry encodes an entry of the key-value service for other instances and compresses a large
// value.
func encodeEntry(e plat.Entry) (wireEntry, error) {
	w := wireEntry{Key: e.Key, Revision: e.Revision, Value: e.Value}
	if len(e.Value) < compressionThreshold {
		return w, nil
	}
	var compressed bytes.Buffer
	compressor, err := flate.NewWriter(&compressed, flate.DefaultCompression)
	if err != nil {
		return wireEntry{}, fmt.Errorf("create compressor: %w", err)
	}
	if _, err := compressor.Write(e.Value); err != nil {
		return wireEntry{}, fmt.Errorf("compress %s: %w", e.Key, err)
	}
	if err := compressor.Close(); err != nil {
		return wireEntry{}, fmt.Errorf("compress %s: %w", e.Key, err)
	}
	w.Value = compressed.Bytes()
	w.Packed = true
	return w, nil
}

// decode returns the entry with its value decompressed; a value larger than the key-value service
// allows is an error.
func (w wireEntry) decode() (plat.Entry, error) {
	e := plat.Entry{Key: w.Key, Revision: w.Revision, Value: w.Value}
	if !w.Packed {
		return e, nil
	}
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(w.Value)), plat.ValueLimit+1))
	if err != nil {
		return plat.Entry{}, fmt.Errorf("decompress %s: %w", w.Key, err)
	}
	if len(plain) > plat.ValueLimit {
		return plat.Entry{}, fmt.Errorf("decompress %s: value exceeds %d bytes", w.Key, plat.ValueLimit)
	}
	e.Value = plain
	return e, nil
}
