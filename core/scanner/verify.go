package scanner

import (
	"fmt"
	"slices"

	"gopkg.in/ini.v1"
)

// verify parses the text with the INI library and reports sections and settings
// that the library reads differently from the lineScanner.
func verify(file, text string, sections []Section) []*Problem {
	options := ini.LoadOptions{
		KeyValueDelimiters: "=", AllowNonUniqueSections: true, AllowShadows: true, AllowDuplicateShadowValues: true,
		IgnoreContinuation: true, SpaceBeforeInlineComment: true,
	}
	loaded, err := ini.LoadSources(options, []byte(text))
	if err != nil {
		return []*Problem{{Position: Position{File: file}, Cause: fmt.Errorf("read settings: %w", err)}}
	}
	read := loaded.Sections()[1:] // the first is the library's default section
	var problems []*Problem
	for i, section := range sections {
		if i >= len(read) || read[i].Name() != section.Name {
			return append(problems, mismatch(section.Position, section.Name))
		}
		problems = append(problems, verifySection(read[i], section)...)
	}
	return problems
}

func verifySection(read *ini.Section, section Section) []*Problem {
	var problems []*Problem
	for _, setting := range section.Settings {
		if !slices.Equal(libraryValues(read, setting.Name), section.values(setting.Name)) {
			problems = append(problems, mismatch(setting.Position, setting.Name))
		}
	}
	return problems
}

func mismatch(position Position, name string) *Problem {
	return &Problem{Position: position, Cause: &LineError{
		Text: name, Message: "is read otherwise than it is written", Allowed: "plain names and values"}}
}

// libraryValues returns the library's values of a name. Empty values are
// removed, because the library omits them.
func libraryValues(section *ini.Section, name string) []string {
	if !section.HasKey(name) {
		return nil
	}
	return withoutEmpty(section.Key(name).ValueWithShadows())
}

func (section Section) values(name string) []string {
	var values []string
	for _, setting := range section.Settings {
		if setting.Name == name {
			values = append(values, setting.Value)
		}
	}
	return withoutEmpty(values)
}

func withoutEmpty(values []string) []string {
	return slices.DeleteFunc(values, func(value string) bool { return value == "" })
}
