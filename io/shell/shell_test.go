package shell_test

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"
	"gotest.tools/v3/assert"

	"endivehitch/core/value"
	"endivehitch/io/conf"
	"endivehitch/io/shell"
	"endivehitch/io/shell/exit"
)

// pageRows returns the headings of the commands and the rows of their flags from docs/CLI.md.
func pageRows(t *testing.T) []string {
	t.Helper()
	page, err := os.ReadFile("../../docs/CLI.md")
	assert.NilError(t, err)
	var lines []string
	for line := range strings.Lines(string(page)) {
		line = strings.TrimSuffix(line, "\n")
		if strings.HasPrefix(line, "### ") || strings.HasPrefix(line, "| `--") {
			lines = append(lines, line)
		}
	}
	return lines
}

// commandRows returns the headings and rows that the page must have for the commands.
func commandRows(prefix string, commands []*cli.Command) []string {
	var lines []string
	for _, c := range commands {
		name := prefix + " " + c.Name
		lines = append(lines, strings.TrimSpace("### "+name+" "+c.ArgsUsage))
		for _, f := range c.Flags {
			lines = append(lines, flagRow(f))
		}
		lines = append(lines, commandRows(name, c.Commands)...)
	}
	return lines
}

func flagRow(f cli.Flag) string {
	d := f.(cli.DocGenerationFlag)
	variable := ""
	if names := d.GetEnvVars(); len(names) > 0 {
		variable = "`" + names[0] + "`"
	}
	defaultValue := ""
	if !strings.Contains(d.GetUsage(), "(default: ") {
		defaultValue = strings.Trim(d.GetValue(), `"[]`)
	}
	if r, ok := f.(cli.RequiredFlag); ok && r.IsRequired() {
		defaultValue = "needed"
	}
	return fmt.Sprintf("| `--%s` | %s | %s | %s |", f.Names()[0], variable, defaultValue, d.GetUsage())
}

func TestPageListsEveryCommandAndFlag(t *testing.T) {
	assert.DeepEqual(t, pageRows(t), commandRows("endivehitch", shell.Commands()))
}

func TestPageListsEveryExitCode(t *testing.T) {
	page, err := os.ReadFile("../../docs/CLI.md")
	assert.NilError(t, err)
	for _, c := range exit.Codes() {
		row := fmt.Sprintf("| %d | %s | ", c, c)
		assert.Assert(t, strings.Contains(string(page), row), "no row %s", row)
	}
}

func runLine(t *testing.T, line string) (string, exit.Code) {
	t.Helper()
	var out bytes.Buffer
	err := shell.Run(t.Context(), strings.Fields("endivehitch "+line), &out, &out)
	return out.String(), exit.CodeOf(err)
}

func TestEachCommandLineReturnsItsExitCode(t *testing.T) {
	cases := map[string]exit.Code{
		"check ../../examples/vadodara.yaml":     exit.OK,
		"check ../../examples/portvagt.yaml":     exit.OK,
		"check ../../README.md":                  exit.Faults,
		"check no-such-file.yaml":                exit.Failure,
		"check":                                  exit.Usage,
		"chekc x":                                exit.Usage,
		"status --no-such-flag":                  exit.Usage,
		"status":                                 exit.Usage,
		"serve --platform http://x --document y": exit.Usage,
		"apply ../../examples/vadodara.yaml":     exit.Usage,
		"apply --key k --instance http://127.0.0.1:1 --expect 0 ../../go.mod":  exit.Faults,
		"status --key k --instance http://127.0.0.1:1":                         exit.Unavailable,
		"promote --key k --instance http://127.0.0.1:1 --expect 0 --timeout x": exit.Usage,
		"where --route r":                                               exit.Usage,
		"where --instance 10.0.0.5 --route r":                           exit.Usage,
		"where --instance http://127.0.0.1:1":                           exit.Usage,
		"where --instance http://127.0.0.1:1 --route r --deadline soon": exit.Usage,
		"where --instance http://127.0.0.1:1 --route r x":               exit.Usage,
		"where --instance http://127.0.0.1:1 --route r":                 exit.Unavailable,
	}
	for line, want := range cases {
		out, got := runLine(t, line)
		assert.Equal(t, got, want, "%s\n%s", line, out)
	}
}

func TestEachErrorTypeHasItsExitCode(t *testing.T) {
	cases := map[exit.Code]error{
		exit.Failure:     errors.New("plain"),
		exit.Usage:       exit.UsageError{},
		exit.Faults:      conf.Faults{{}},
		exit.Conflict:    value.ChangeConflict{},
		exit.Refused:     value.ChangeRefused{},
		exit.Unavailable: value.ChangeUnavailable{},
		exit.Unknown:     value.ChangeUnknown{},
	}
	for want, err := range cases {
		assert.Equal(t, exit.CodeOf(fmt.Errorf("wrapped: %w", err)), want)
	}
}

func TestDemoAnswersItsRequestsAndExits(t *testing.T) {
	out, code := runLine(t, "demo")
	assert.Equal(t, code, exit.OK, out)
	for _, text := range []string{
		"on drafting-llm/small-1 answers: is order 17 printed",
		"on drafting-llm/large-2 answers: one thali two rotlo",
		"data: [DONE]",
		`"Reason":"CheapestThatMeetsTarget"`,
		"also considered: drafting-llm/small-1",
		"the repeated reorder took effect once",
	} {
		assert.Assert(t, strings.Contains(out, text), "no %q in\n%s", text, out)
	}
}
