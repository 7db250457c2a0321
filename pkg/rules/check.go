package rules

import "briarworks.example/briarworks/internal/strict"

func check(_ *Document, _ *strict.Source) {}
