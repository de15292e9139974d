package flow

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"

	"endivehitch/io/engine"
)

// maxStoredBytes bounds the body that is kept for later calls with the same key. A journal stores shorter ones only.
const maxStoredBytes = 64 << 10

// answerRecord collects an answer under a claim: its body up to maxStoredBytes, and the length and digest of any.
type answerRecord struct {
	digest hash.Hash
	bytes  int
	body   []byte
}

func newAnswerRecord() *answerRecord {
	return &answerRecord{digest: sha256.New()}
}

func (r *answerRecord) add(data []byte) {
	// A hash never returns an error.
	_, _ = r.digest.Write(data)
	r.bytes += len(data)
	if r.bytes > maxStoredBytes {
		r.body = nil
		return
	}
	r.body = append(r.body, data...)
}

// answer returns the answer as it is to be stored.
func (r *answerRecord) answer(h engine.Head) StoredAnswer {
	return StoredAnswer{Head: h, Body: r.body, Bytes: r.bytes, Digest: hex.EncodeToString(r.digest.Sum(nil))}
}

// NewStoredAnswer returns the stored form of an answer with the body.
func NewStoredAnswer(h engine.Head, body []byte) StoredAnswer {
	r := newAnswerRecord()
	r.add(body)
	return r.answer(h)
}
