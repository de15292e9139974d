package conf_test

import (
	"errors"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"endivehitch/io/conf"
)

func readExample(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile("../../examples/" + name + ".yaml")
	assert.NilError(t, err)
	return string(data)
}

func faultsOf(t *testing.T, document string) []string {
	t.Helper()
	_, err := conf.Parse([]byte(document))
	var faults conf.Faults
	assert.Assert(t, errors.As(err, &faults), "%v", err)
	return strings.Split(faults.Error(), "\n")
}

func TestParseAcceptsTheExampleDocuments(t *testing.T) {
	for _, name := range []string{"vadodara", "portvagt"} {
		d, err := conf.Parse([]byte(readExample(t, name)))
		assert.NilError(t, err)
		assert.Equal(t, d.Name, name)
		assert.Equal(t, len(d.ClientAccounts), 10)
		assert.Equal(t, len(d.Models[0].Versions), 4)
	}
}

func TestParseAcceptsJSON(t *testing.T) {
	d, err := conf.Parse([]byte(smallDocument))
	assert.NilError(t, err)
	assert.Equal(t, d.Kinds[0].Deadline.String(), "1.5s")
	assert.Equal(t, d.Limits.BodyBytes, int64(4096))
}

const smallDocument = `{
"Name": "one",
"ClientAccounts": [{"Name": "a", "Share": 1, "Versions": ["m/v"], "Kinds": ["k"]}],
"Models": [{"Name": "m", "Versions": [{"Name": "v", "InputMicros": 1, "OutputMicros": 1, "Quality": 0.9, "Pool": "p"}]}],
"Kinds": [{"Name": "k", "Model": "m", "Priority": "Draft", "Deadline": "1500ms", "MaxTokens": 9}],
"Pools": [{"Name": "p", "MaxInFlight": 1}],
"Limits": {"QueueLength": 1, "RetryPercent": 1, "HedgePercent": 1, "BodyBytes": 4096}
}`

// editSmallDocument replaces, in smallDocument, the first text of each pair by the second. Each
// section of smallDocument takes one line, by which the tests check the line numbers.
func editSmallDocument(pairs ...string) string {
	return strings.NewReplacer(pairs...).Replace(smallDocument)
}

func TestParseReportsEveryFault(t *testing.T) {
	cases := []struct {
		name     string
		document string
		want     []string
	}{
		{
			name:     "unknown, missing and duplicate fields",
			document: editSmallDocument(`"MaxInFlight": 1`, `"MaxInflight": 1`, `"MaxTokens": 9`, `"MaxTokens": 9, "MaxTokens": 8`, `"Name": "one"`, `"name": "one"`),
			want: []string{
				`line 1: Name: is missing`,
				`line 2: name: is no field of the document`,
				`line 5: Kinds[0].MaxTokens: is stated twice, first in line 5`,
				`line 6: Pools[0].MaxInflight: is no field of the document`,
				`line 6: Pools[0].MaxInFlight: is missing`,
			},
		},
		{
			name:     "references to unknown versions, kinds and pools",
			document: editSmallDocument(`["m/v"]`, `["m/v", "m/w"]`, `["k"]`, `["k", "q"]`, `"Pool": "p"`, `"Pool": "x"`, `"Pools": [`, `"Services": [{"Name": "s", "Pool": "y"}], "Pools": [`),
			want: []string{
				`line 3: ClientAccounts[0].Versions[1]: there is no version "m/w"`,
				`line 3: ClientAccounts[0].Kinds[1]: there is no kind "q"`,
				`line 4: Models[0].Versions[0].Pool: there is no pool "x"`,
				`line 6: Services[0].Pool: there is no pool "y"`,
			},
		},
		{
			name:     "unreachable quality target and contradictory fields of a kind",
			document: editSmallDocument(`"Model": "m",`, `"Model": "m", "QualityTarget": 0.95, "Share": true, "MaxAttempts": 2,`),
			want: []string{
				`line 3: ClientAccounts[0].Kinds[0]: quality target 0.95 of kind "k" can't be reached: the best of the allowed versions and their cascades comes to 0.9`,
				`line 5: Kinds[0].Share: can't be true for a kind that is not idempotent`,
				`line 5: Kinds[0].MaxAttempts: can't be above 1 for a kind that is not idempotent`,
			},
		},
		{
			name:     "values out of range, of the wrong type or empty",
			document: editSmallDocument(`"Share": 1`, `"Share": 0`, `"Quality": 0.9`, `"Quality": "good"`, `"1500ms"`, `"1500"`, `"RetryPercent": 1`, `"RetryPercent": 101`, `"Priority": "Draft"`, `"Priority": "Soon"`, `"Name": "p"`, `"Name": ""`, `"Pool": "p"`, `"Pool": ""`),
			want: []string{
				`line 3: ClientAccounts[0].Share: 0 is out of range: 1 to 1000000`,
				`line 4: Models[0].Versions[0].Quality: must be a number, not text`,
				`line 4: Models[0].Versions[0].Pool: is empty`,
				`line 5: Kinds[0].Priority: "Soon" is no priority: Status, Interactive or Draft`,
				`line 5: Kinds[0].Deadline: "1500" is no duration such as 500ms or 2m`,
				`line 6: Pools[0].Name: is empty`,
				`line 7: Limits.RetryPercent: 101 is out of range: 0 to 100`,
			},
		},
		{
			name: "roll-outs with contradictory stages, versions or names",
			document: editSmallDocument(`"Limits"`, `"RollOuts": [{"Name": "r", "Model": "m", "From": "v", "To": "v",
				"Stages": [{"Percent": 20}, {"Percent": 10}],
				"MaxErrorRate": 2, "MinQuality": 0.5}, {"Name": "r", "Model": "n", "From": "v", "To": "w", "Stages": [{"Percent": 100}],
				"MaxErrorRate": 0, "MinQuality": 0}], "Limits"`),
			want: []string{
				`line 7: RollOuts[0].To: is the version that the roll-out starts from`,
				`line 8: RollOuts[0].Stages[1].Percent: 10 is not above the stage before, which has 20`,
				`line 8: RollOuts[0].Stages[1].Percent: the last stage must have 100`,
				`line 9: RollOuts[0].MaxErrorRate: 2 is out of range: 0 to 1`,
				`line 9: RollOuts[1].Name: "r" is already the name of RollOuts[0]`,
				`line 9: RollOuts[1].Model: there is no model "n"`,
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.DeepEqual(t, faultsOf(t, c.document), c.want)
		})
	}
}

func TestParseReportsTheLineOfASyntaxFault(t *testing.T) {
	assert.Assert(t, strings.HasPrefix(faultsOf(t, "Name: a\nKinds: [\n")[0], "line 2: "))
	assert.DeepEqual(t, faultsOf(t, "Name: a\n---\nName: b\n"), []string{"line 1: must hold one document, neither none nor several"})
}

func TestParseRejectsAnchorsAndAliases(t *testing.T) {
	got := faultsOf(t, editSmallDocument(`"Share": 1`, `"Share": &x 1`, `"RetryPercent": 1`, `"RetryPercent": *x`))
	assert.DeepEqual(t, got, []string{
		"line 3: ClientAccounts[0].Share: must be a whole number, not an anchor, alias or tag",
		"line 7: Limits.RetryPercent: must be a whole number, not an anchor, alias or tag",
	})
}

func TestParseRejectsDeepNestingBeforeParsing(t *testing.T) {
	for _, mark := range []string{"[", "{a: ", "- ", "? "} {
		deep := "Name: a\nKinds: " + strings.Repeat(mark, 50000)
		assert.DeepEqual(t, faultsOf(t, deep), []string{"line 2: is nested more than 16 deep"})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(smallDocument))
	f.Add([]byte("a: &x [*x]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := conf.Parse(data)
		var faults conf.Faults
		assert.Assert(t, err == nil || errors.As(err, &faults))
	})
}
