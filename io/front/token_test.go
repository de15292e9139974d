package front_test

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	"endivehitch/io/front"
)

func key(b byte) []byte {
	return bytes.Repeat([]byte{b}, 32)
}

func TestTokenSurvivesTheReplacementOfKeys(t *testing.T) {
	old, err := front.NewSigner(key(1))
	assert.NilError(t, err)
	both, err := front.NewSigner(key(2), key(1))
	assert.NilError(t, err)
	s := front.Session{ID: "s-1", Account: "ward-12", Version: "drafting-llm/v2"}
	token, err := old.Sign(s)
	assert.NilError(t, err)
	got, err := both.Check(token)
	assert.NilError(t, err)
	assert.Equal(t, got, s)
}

func TestForgedTokenIsRefused(t *testing.T) {
	mine, err := front.NewSigner(key(1))
	assert.NilError(t, err)
	other, err := front.NewSigner(key(2))
	assert.NilError(t, err)
	token, err := other.Sign(front.Session{ID: "s-1", Account: "ward-12", Version: "drafting-llm/v2"})
	assert.NilError(t, err)
	for _, bad := range []string{token, "", "x", "!.!", token + "x"} {
		_, err = mine.Check(bad)
		assert.ErrorIs(t, err, front.ErrToken, bad)
	}
}

func TestShortKeyIsRefused(t *testing.T) {
	_, err := front.NewSigner([]byte("short"))
	assert.ErrorContains(t, err, "fewer than 32")
}

func FuzzToken(f *testing.F) {
	s, err := front.NewSigner(key(1))
	if err != nil {
		f.Fatal(err)
	}
	f.Add("abc.def")
	f.Fuzz(func(t *testing.T, token string) {
		if got, err := s.Check(token); err == nil {
			again, err := s.Sign(got)
			assert.NilError(t, err)
			_, err = s.Check(again)
			assert.NilError(t, err)
		}
	})
}
