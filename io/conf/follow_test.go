package conf_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/value"
	"endivehitch/io/conf"
	"endivehitch/io/fakes"
	"endivehitch/io/plat"
)

// put keeps the bytes as the next change of the trial environment.
func put(t *testing.T, store plat.Store, id string, data string) {
	t.Helper()
	key := conf.DocumentKey("trial")
	was, err := store.Get(t.Context(), key)
	assert.NilError(t, err)
	change := value.Change{ID: value.ChangeID(id), Expect: was.Revision, Digest: conf.Digest([]byte(data))}
	record, err := conf.Record{}.WithChange([]byte(data), change).Encode()
	assert.NilError(t, err)
	_, err = store.Swap(t.Context(), plat.Swap{Key: key, Expect: was.Revision, Value: record})
	assert.NilError(t, err)
}

func TestFollowerSeesEachChangeAcrossAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner, err := plat.NewEmbedded(plat.EmbeddedConfig{Now: time.Now, History: 16})
		assert.NilError(t, err)
		store := fakes.NewStore(inner)
		var seen []int64
		var moved []int
		failures := 0
		f, err := conf.NewFollower(conf.FollowerConfig{
			From:        store,
			Environment: "trial",
			Install: func(_ context.Context, c conf.Changes) error {
				if c.Accepted.Revision > 0 {
					seen = append(seen, c.Accepted.Revision)
				}
				for _, p := range c.RollOuts {
					moved = append(moved, p.Stage)
				}
				return nil
			},
			Failed: func(error) { failures++ },
			Delay:  func(int) time.Duration { return time.Second },
		})
		assert.NilError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { assert.Check(t, f.Run(ctx)) }()
		put(t, store, "one", small)
		synctest.Wait()
		assert.DeepEqual(t, seen, []int64{1})

		assert.NilError(t, store.Set(fakes.Faults{Down: true}))
		put(t, inner, "two", small+"\n")
		time.Sleep(3 * time.Second)
		synctest.Wait()
		assert.DeepEqual(t, seen, []int64{1})
		assert.Assert(t, failures > 0)
		assert.NilError(t, store.Set(fakes.Faults{}))
		time.Sleep(2 * time.Second)
		synctest.Wait()
		assert.DeepEqual(t, seen, []int64{1, 2})

		_, err = conf.KeepProgress(t.Context(), store, "trial", value.Progress{Name: "r", Stage: 3})
		assert.NilError(t, err)
		synctest.Wait()
		assert.DeepEqual(t, moved, []int{3})

		failures = 0
		put(t, inner, "broken", "Name: x\n")
		synctest.Wait()
		assert.Equal(t, failures, 1)
		assert.Equal(t, len(seen), 2, "a kept document with faults is not put in force")
	})
}

func TestSettingsNameEveryFault(t *testing.T) {
	hash := conf.Digest([]byte("key"))
	_, err := conf.ParseSettings([]byte("Callers:\n  - {Hash: abc, ClientAccount: a}\n" +
		"Operators:\n  - {Hash: " + hash + ", Name: x}\n  - {Hash: " + hash + ", Name: y}\n" +
		"Servers:\n  - {ID: s, Address: 'ftp://x', Pool: p, FailureDomain: d}\n"))
	assert.Error(t, err, `line 2: Callers[0].Hash: must be the SHA-256 sum of a key, as 64 hexadecimal digits
line 5: Operators[1]: is the same as Operators[0]
line 7: Servers[0].Address: "ftp://x" is no address such as http://10.0.0.1:8000`)
}

func TestExampleSettingsAreSound(t *testing.T) {
	s, err := conf.ParseSettings([]byte(example(t, "settings")))
	assert.NilError(t, err)
	assert.Equal(t, s.Callers[conf.Digest([]byte("caller-key"))], value.AccountName("ward-alkapuri"))
	assert.Equal(t, s.Operators[conf.Digest([]byte("operator-key"))], "asha")
}
