package conf_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"endivehitch/core/value"
	"endivehitch/io/conf"
)

func TestParseSettingsReportsEveryFault(t *testing.T) {
	hash := conf.Digest([]byte("key"))
	_, err := conf.ParseSettings([]byte("Callers:\n  - {Hash: abc, ClientAccount: a}\n" +
		"Operators:\n  - {Hash: " + hash + ", Name: x}\n  - {Hash: " + hash + ", Name: y}\n" +
		"Servers:\n  - {ID: s, Address: 'ftp://x', Pool: p, FailureDomain: d}\n" +
		"Instances:\n  - {ID: i, PeerAddress: 'localhost:1', FailureDomain: d}\n"))
	assert.Error(t, err, `line 2: Callers[0].Hash: must be the SHA-256 sum of a key, as 64 hexadecimal digits
line 5: Operators[1]: is the same as Operators[0]
line 7: Servers[0].Address: "ftp://x" is no address such as http://10.0.0.1:8000
line 9: Instances[0].PeerAddress: "localhost:1" is no address such as 10.0.0.1:7702`)
}

func TestParseSettingsAcceptsTheExampleSettings(t *testing.T) {
	s, err := conf.ParseSettings([]byte(readExample(t, "settings")))
	assert.NilError(t, err)
	assert.Equal(t, s.Callers[conf.Digest([]byte("caller-key"))], value.AccountName("ward-alkapuri"))
	assert.Equal(t, s.Operators[conf.Digest([]byte("operator-key"))], "asha")
	assert.Equal(t, s.Readers[conf.Digest([]byte("reader-key"))], "prometheus")
}
