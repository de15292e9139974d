package conf_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"endivehitch/io/conf"
)

// BenchmarkSlopeDocument measures the time to parse and validate a document by its number of client
// accounts.
func BenchmarkSlopeDocument(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 4000} {
		b.Run(fmt.Sprintf("Accounts%d", n), func(b *testing.B) {
			data := []byte(documentWithAccounts(n))
			for b.Loop() {
				_, err := conf.Parse(data)
				assert.NilError(b, err)
			}
			b.ReportMetric(float64(len(data))/1024, "KB-document")
		})
	}
}

func documentWithAccounts(accounts int) string {
	var text strings.Builder
	text.WriteString("Name: slope\nModels:\n  - Name: model\n    Versions:\n")
	for i := range 38 {
		fmt.Fprintf(&text, "      - {Name: v%d, InputMicros: 100, OutputMicros: 300, Quality: 0.9, Pool: engines}\n", i)
	}
	text.WriteString("Pools:\n  - {Name: engines, MaxInFlight: 8}\n")
	text.WriteString("Kinds:\n  - {Name: draft, Model: model, QualityTarget: 0.8, Priority: Draft, Idempotent: true, Deadline: 1m, MaxTokens: 1000}\n")
	text.WriteString("ClientAccounts:\n")
	for i := range accounts {
		fmt.Fprintf(&text, "  - {Name: account-%d, Share: 1, Versions: [model/v%d, model/v%d], Kinds: [draft]}\n", i, i%38, (i+1)%38)
	}
	text.WriteString("Limits: {QueueLength: 100, RetryPercent: 10, HedgePercent: 5, BodyBytes: 1048576}\n")
	return text.String()
}
