package main

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// Output formats.
const (
	outputText = "text"
	outputJSON = "json"
)

// outputFlag is the name of the flag that sets the output format of every command.
const outputFlag = "output"

// output prints the result of a command in the requested format.
type output struct {
	format string
	w      io.Writer
}

// init reads the output format from the flags of cmd. It fails if the format is unknown.
func (o *output) init(cmd *cobra.Command) (err error) {
	o.w = cmd.OutOrStdout()
	if o.format, err = cmd.Flags().GetString(outputFlag); err != nil {
		return err
	}
	if o.format != outputText && o.format != outputJSON {
		return fmt.Errorf("briarworks: --output %s: want text or json", o.format)
	}
	return nil
}

// print writes v as JSON, or calls text if the format is text.
func (o *output) print(v any, text func(w io.Writer)) error {
	if o.format == outputText {
		text(o.w)
		return nil
	}
	e := json.NewEncoder(o.w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// isJSON reports whether the output format of a command is JSON.
func isJSON(cmd *cobra.Command) bool {
	format, _ := cmd.Flags().GetString(outputFlag)
	return format == outputJSON
}
