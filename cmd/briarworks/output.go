package main

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// Forms of an answer.
const (
	outputText = "text"
	outputJSON = "json"
)

// outputFlag is the flag that every command has.
const outputFlag = "output"

// output is the form in which a command answers.
type output struct {
	form string
	w    io.Writer
}

// open reads the flag of a command.
func (o *output) open(cmd *cobra.Command) (err error) {
	o.w = cmd.OutOrStdout()
	if o.form, err = cmd.Flags().GetString(outputFlag); err != nil {
		return err
	}
	if o.form != outputText && o.form != outputJSON {
		return fmt.Errorf("briarworks: --output %s: want text or json", o.form)
	}
	return nil
}

// show writes v as JSON, or calls text.
func (o *output) show(v any, text func(w io.Writer)) error {
	if o.form == outputText {
		text(o.w)
		return nil
	}
	e := json.NewEncoder(o.w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// isJSON reports whether a command answers in JSON.
func isJSON(cmd *cobra.Command) bool {
	form, _ := cmd.Flags().GetString(outputFlag)
	return form == outputJSON
}
