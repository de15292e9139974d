package front_test

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	"endivehitch/io/front"
)

func signingKey(b byte) []byte {
	return bytes.Repeat([]byte{b}, 32)
}

func TestTokenOfReplacedKeyIsAcceptedDuringRotation(t *testing.T) {
	old, err := front.NewSigner(signingKey(1))
	assert.NilError(t, err)
	both, err := front.NewSigner(signingKey(2), signingKey(1))
	assert.NilError(t, err)
	s := front.Session{ID: "s-1", Account: "ward-12", Version: "drafting-llm/v2"}
	token, err := old.Sign(s)
	assert.NilError(t, err)
	got, err := both.Verify(token)
	assert.NilError(t, err)
	assert.Equal(t, got, s)
}

func TestForgedOrMalformedTokenIsRefused(t *testing.T) {
	mine, err := front.NewSigner(signingKey(1))
	assert.NilError(t, err)
	other, err := front.NewSigner(signingKey(2))
	assert.NilError(t, err)
	token, err := other.Sign(front.Session{ID: "s-1", Account: "ward-12", Version: "drafting-llm/v2"})
	assert.NilError(t, err)
	for _, bad := range []string{token, "", "x", "!.!", token + "x"} {
		_, err = mine.Verify(bad)
		assert.ErrorIs(t, err, front.ErrInvalidToken, bad)
	}
}

func TestShortSigningKeyIsRefused(t *testing.T) {
	_, err := front.NewSigner([]byte("short"))
	assert.ErrorContains(t, err, "fewer than 32")
}

func FuzzToken(f *testing.F) {
	s, err := front.NewSigner(signingKey(1))
	if err != nil {
		f.Fatal(err)
	}
	f.Add("abc.def")
	f.Fuzz(func(t *testing.T, token string) {
		if got, err := s.Verify(token); err == nil {
			again, err := s.Sign(got)
			assert.NilError(t, err)
			_, err = s.Verify(again)
			assert.NilError(t, err)
		}
	})
}
