package settings

import (
	"fmt"
	"io"
	"reflect"
)

// WriteReference writes the settings reference as Markdown tables, generated from the struct tags that decoding and validation
// use.
func WriteReference(w io.Writer) error {
	if err := writeTable(w, reflect.TypeFor[Settings]()); err != nil {
		return err
	}
	if _, err := fmt.Fprint(w, "\n## `marigoldwood direct`\n\n"); err != nil {
		return err
	}
	return writeTable(w, reflect.TypeFor[Direct]())
}

func writeTable(w io.Writer, t reflect.Type) error {
	if _, err := fmt.Fprintln(w, "| setting | type | default | allowed | meaning |\n|---|---|---|---|---|"); err != nil {
		return err
	}
	return writeFields(w, "", t)
}

func writeFields(w io.Writer, prefix string, t reflect.Type) error {
	for i := range t.NumField() {
		f := t.Field(i)
		name := prefix + yamlName(f)
		if doc := f.Tag.Get("doc"); doc != "" {
			if err := writeRow(w, name, f, doc); err != nil {
				return err
			}
		}
		if nested, suffix := nestedStruct(f.Type); nested != nil {
			if err := writeFields(w, name+suffix, nested); err != nil {
				return err
			}
		}
	}
	return nil
}

func writeRow(w io.Writer, name string, f reflect.StructField, doc string) error {
	_, err := fmt.Fprintf(w, "| `%s` | %s | %s | %s | %s |\n", name, f.Type,
		inlineCode(f.Tag.Get("default")), inlineCode(f.Tag.Get("validate")), doc)
	return err
}

// inlineCode returns the text as Markdown inline code, or "" for an empty text.
func inlineCode(s string) string {
	if s == "" {
		return ""
	}
	return "`" + s + "`"
}

// nestedStruct returns the struct type that a settings field contains, or nil, and the separator between the name of the
// field and those of the struct.
func nestedStruct(t reflect.Type) (reflect.Type, string) {
	isSettingsType := t.PkgPath() == reflect.TypeFor[Settings]().PkgPath()
	switch {
	case t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct &&
		t.Elem().PkgPath() == reflect.TypeFor[Settings]().PkgPath():
		return t.Elem(), "[]."
	case t.Kind() == reflect.Struct && isSettingsType:
		return t, "."
	}
	return nil, ""
}
