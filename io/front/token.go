package front

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/google/uuid"

	"endivehitch/core/value"
)

// ErrToken marks a session token that none of the instance's keys has signed.
var ErrToken = errors.New("session token is not valid")

// leastKeyBytes is the shortest signing key that is accepted.
const leastKeyBytes = 32

// Session is what a session token says; the caller carries it, so that any instance can keep the session's version.
type Session struct {
	ID      value.SessionID
	Account value.AccountName
	Version value.VersionKey
}

type wireSession struct {
	Session string
	Account string
	Version string
}

// Signer makes and checks session tokens.
type Signer struct {
	keys [][]byte
}

// NewSigner returns a signer that signs with the first key and accepts all, so that keys can be replaced one by one.
func NewSigner(keys ...[]byte) (*Signer, error) {
	if len(keys) == 0 {
		return nil, errors.New("front: no key for session tokens")
	}
	for i, k := range keys {
		if len(k) < leastKeyBytes {
			return nil, fmt.Errorf("front: key %d for session tokens has %d bytes, fewer than %d", i, len(k), leastKeyBytes)
		}
	}
	return &Signer{keys: keys}, nil
}

// Sign returns the session's token.
func (s *Signer) Sign(v Session) (string, error) {
	payload, err := json.Marshal(wireSession{Session: string(v.ID), Account: string(v.Account), Version: string(v.Version)})
	if err != nil {
		return "", fmt.Errorf("encode session: %w", err)
	}
	enc := base64.RawURLEncoding
	return enc.EncodeToString(payload) + "." + enc.EncodeToString(sign(s.keys[0], payload)), nil
}

// Check returns the session of a token, or an error that wraps ErrToken.
func (s *Signer) Check(token string) (Session, error) {
	left, right, ok := strings.Cut(token, ".")
	if !ok {
		return Session{}, fmt.Errorf("%w: no signature", ErrToken)
	}
	payload, err := base64.RawURLEncoding.DecodeString(left)
	if err != nil {
		return Session{}, fmt.Errorf("%w: decode payload: %w", ErrToken, err)
	}
	mac, err := base64.RawURLEncoding.DecodeString(right)
	if err != nil {
		return Session{}, fmt.Errorf("%w: decode signature: %w", ErrToken, err)
	}
	if !s.signed(payload, mac) {
		return Session{}, fmt.Errorf("%w: wrong signature", ErrToken)
	}
	var wire wireSession
	if err := json.Unmarshal(payload, &wire); err != nil {
		return Session{}, fmt.Errorf("%w: decode session: %w", ErrToken, err)
	}
	return Session{
		ID:      value.SessionID(wire.Session),
		Account: value.AccountName(wire.Account),
		Version: value.VersionKey(wire.Version),
	}, nil
}

func (s *Signer) signed(payload, mac []byte) bool {
	for _, k := range s.keys {
		if hmac.Equal(mac, sign(k, payload)) {
			return true
		}
	}
	return false
}

func sign(key, payload []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(payload)
	return h.Sum(nil)
}

// session reads the caller's token; a caller without one starts a session.
func (f *Front) session(token string, account value.AccountName) (Session, error) {
	if token == "" {
		return Session{ID: value.SessionID(uuid.NewString()), Account: account}, nil
	}
	s, err := f.Signer.Check(token)
	if err != nil {
		return Session{}, badRequest(err.Error())
	}
	if s.Account != account {
		return Session{}, badRequest("session token belongs to another client account")
	}
	return s, nil
}
