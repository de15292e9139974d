package query_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
	"endivehitch/core/relay/query"
)

// Guards against a sound part that all requests share and that is blamed for the crash of a probe, as it was at no more crashes
// than the deadly part: answers to it had begun meanwhile.
func TestPartThatWasAnsweredMeanwhileIsNotBlamedForAProbe(t *testing.T) {
	from := time.Unix(1000, 0)
	records := crashedParts(from, map[relay.PartID][]uint64{"popular": {0, 1, 2, 3, 4}, "deadly": {1, 2, 3, 4}})
	popular, _ := records.Get("popular")
	records = records.With("popular", popular.WithStart(from, from))
	assert.Equal(t, query.Rarest(records, []relay.PartID{"popular", "deadly"}), relay.PartID("deadly"))
}
