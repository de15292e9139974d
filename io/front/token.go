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

// ErrInvalidToken is wrapped by errors about a session token that is malformed or signed by none of
// the instance's keys.
var ErrInvalidToken = errors.New("session token is not valid")

// minSigningKeyBytes is the length of the shortest signing key that is accepted.
const minSigningKeyBytes = 32

// Session is the content of a session token. The caller sends the token with each request, so that
// any instance can keep the session on its version.
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

// Signer signs and verifies session tokens.
type Signer struct {
	keys [][]byte
}

// NewSigner returns a signer that signs with the first key and accepts the signatures of all keys,
// so that keys can be rotated.
func NewSigner(keys ...[]byte) (*Signer, error) {
	if len(keys) == 0 {
		return nil, errors.New("front: no key for session tokens")
	}
	for i, k := range keys {
		if len(k) < minSigningKeyBytes {
			return nil, fmt.Errorf("front: key %d for session tokens has %d bytes, fewer than %d", i, len(k), minSigningKeyBytes)
		}
	}
	return &Signer{keys: keys}, nil
}

// Sign returns the session's token.
func (s *Signer) Sign(session Session) (string, error) {
	payload, err := json.Marshal(wireSession{Session: string(session.ID), Account: string(session.Account), Version: string(session.Version)})
	if err != nil {
		return "", fmt.Errorf("encode session: %w", err)
	}
	enc := base64.RawURLEncoding
	return enc.EncodeToString(payload) + "." + enc.EncodeToString(computeMAC(s.keys[0], payload)), nil
}

// Verify returns the session that a token holds, or an error that wraps ErrInvalidToken.
func (s *Signer) Verify(token string) (Session, error) {
	encodedPayload, encodedMAC, ok := strings.Cut(token, ".")
	if !ok {
		return Session{}, fmt.Errorf("%w: no signature", ErrInvalidToken)
	}
	payload, err := base64.RawURLEncoding.DecodeString(encodedPayload)
	if err != nil {
		return Session{}, fmt.Errorf("%w: decode payload: %w", ErrInvalidToken, err)
	}
	mac, err := base64.RawURLEncoding.DecodeString(encodedMAC)
	if err != nil {
		return Session{}, fmt.Errorf("%w: decode signature: %w", ErrInvalidToken, err)
	}
	if !s.isSigned(payload, mac) {
		return Session{}, fmt.Errorf("%w: wrong signature", ErrInvalidToken)
	}
	var wire wireSession
	if err := json.Unmarshal(payload, &wire); err != nil {
		return Session{}, fmt.Errorf("%w: decode session: %w", ErrInvalidToken, err)
	}
	return Session{
		ID:      value.SessionID(wire.Session),
		Account: value.AccountName(wire.Account),
		Version: value.VersionKey(wire.Version),
	}, nil
}

func (s *Signer) isSigned(payload, mac []byte) bool {
	for _, k := range s.keys {
		if hmac.Equal(mac, computeMAC(k, payload)) {
			return true
		}
	}
	return false
}

func computeMAC(key, payload []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(payload)
	return h.Sum(nil)
}

// resolveSession returns the session of the caller's token, or a new session if the caller sent
// none.
func (f *Front) resolveSession(token string, account value.AccountName) (Session, error) {
	if token == "" {
		return Session{ID: value.SessionID(uuid.NewString()), Account: account}, nil
	}
	session, err := f.Signer.Verify(token)
	if err != nil {
		return Session{}, badRequest(err.Error())
	}
	if session.Account != account {
		return Session{}, badRequest("session token belongs to another client account")
	}
	return session, nil
}
