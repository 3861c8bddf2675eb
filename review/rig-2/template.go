package main

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strings"
)

// fields are the fields of a process's settings, by name. Lists are of strings.
type fields map[string]any

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/[\w.]+\}\}`)
	valuePattern   = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)
)

// render fills in the deploy file's template for settings. A section is rendered once if its
// field has a value; lists and tables have no sections in that template.
func render(template string, f fields) string {
	text := sectionPattern.ReplaceAllStringFunc(template, func(s string) string {
		parts := sectionPattern.FindStringSubmatch(s)
		value, ok := f[parts[1]]
		if !ok {
			return ""
		}
		return strings.ReplaceAll(parts[2], "{{.}}", fmt.Sprint(value))
	})
	return valuePattern.ReplaceAllStringFunc(text, func(s string) string {
		parts := valuePattern.FindStringSubmatch(s)
		value, ok := f[parts[1]]
		if !ok {
			return ""
		}
		if parts[2] == "" {
			return fmt.Sprint(value)
		}
		encoded, err := json.Marshal(value)
		if err != nil {
			return ""
		}
		return string(encoded)
	})
}
