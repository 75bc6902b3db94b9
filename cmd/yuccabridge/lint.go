package main

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/internal/lint"
	"github.com/yuccabridge/yuccabridge/internal/settings"
	"github.com/yuccabridge/yuccabridge/platform"
)

// lintResult is the output of config lint. The names of the JSON fields are part of the command's interface.
type lintResult struct {
	File     string         `json:"file"`
	Findings []lint.Finding `json:"findings"`
	Changes  []lint.Change  `json:"changes"`
}

type lintOptions struct {
	published bool
	against   string // file of the configuration in force; empty: no comparison
	instance  string // settings file of an instance; empty: none
	output    string
}

func newConfigLintCommand() *cobra.Command {
	var o lintOptions
	c := &cobra.Command{
		Use:   "lint FILE",
		Short: "Check a configuration before it is published",
		Long: `Lint reports errors, entries that can never match, and values that contradict each other or have no effect.

Exit codes: 0 no findings, 1 findings, 2 a file cannot be read or an option is wrong. Differences are not findings.`,
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error { return runLint(c.OutOrStdout(), args[0], o) },
	}
	c.Flags().BoolVar(&o.published, "published", false, "the files are in the platform's format (JSON)")
	c.Flags().StringVar(&o.against, "against", "", "configuration in force, to report what differs")
	c.Flags().StringVar(&o.instance, "instance", "", "settings file of a forwarding instance, whose limits are checked too; needs --published")
	c.Flags().StringVar(&o.output, "output", "text", "text or json")
	return c
}

func runLint(w io.Writer, file string, o lintOptions) error {
	if o.output != "text" && o.output != "json" {
		return errors.Errorf("--output %s: not text or json", o.output)
	}
	if o.instance != "" && !o.published {
		return errors.New("--instance needs --published")
	}
	text, err := readFile(file)
	if err != nil {
		return err
	}
	var inForce []byte
	if o.against != "" {
		if inForce, err = readFile(o.against); err != nil {
			return err
		}
	}
	// Empty lists are encoded as lists, so that scripts need not handle null.
	result := lintResult{File: file, Findings: []lint.Finding{}, Changes: []lint.Change{}}
	if o.published {
		err = result.lintPublished(text, inForce, o)
	} else {
		err = result.lintDeployment(text, inForce, o)
	}
	if err != nil {
		return err
	}
	if err := result.print(w, o.output); err != nil {
		return err
	}
	if n := len(result.Findings); n > 0 {
		return checkError{errors.Errorf("%s: findings: %d", file, n)}
	}
	return nil
}

func (r *lintResult) lintDeployment(text, inForce []byte, o lintOptions) error {
	r.Findings = append(r.Findings, lint.Deployment(text)...)
	after, err := config.Parse(text)
	if err != nil || o.against == "" {
		return nil // the error is a finding
	}
	before, err := config.Parse(inForce)
	if err != nil {
		return errors.Errorf("%s: %v", o.against, err)
	}
	r.Changes = append(r.Changes, diffDeployments(before, after)...)
	return nil
}

func (r *lintResult) lintPublished(text, inForce []byte, o lintOptions) error {
	var instance *settings.Gateway
	if o.instance != "" {
		var err error
		if instance, err = settings.LoadGateway(o.instance); err != nil {
			return err
		}
	}
	if o.against != "" && !isObject(inForce) {
		return errors.Errorf("%s: not a JSON object", o.against)
	}
	r.Findings = append(r.Findings, platform.Lint(text, inForce, instance)...)
	if o.against == "" || !isObject(text) {
		return nil // the error is a finding
	}
	changes, err := platform.Diff(inForce, text)
	if err != nil {
		return errors.Errorf("%s: %v", o.against, err)
	}
	r.Changes = append(r.Changes, changes...)
	return nil
}

func isObject(text []byte) bool {
	var fields map[string]json.RawMessage
	return json.Unmarshal(text, &fields) == nil && fields != nil
}

func (r *lintResult) print(w io.Writer, output string) error {
	if output == "json" {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r)
	}
	for _, f := range r.Findings {
		if _, err := fmt.Fprintf(w, "%s: %s\n", r.File, f); err != nil {
			return err
		}
	}
	for _, c := range r.Changes {
		if _, err := fmt.Fprintln(w, c); err != nil {
			return err
		}
	}
	return nil
}
