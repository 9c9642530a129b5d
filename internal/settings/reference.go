package settings

import (
	"fmt"
	"io"
	"reflect"
)

// WriteReference writes the settings reference as Markdown tables, from the tags that the checks use.
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
	_, err := fmt.Fprintf(w, "| `%s` | %s | %s | %s | %s |\n", name, f.Type, code(f.Tag.Get("default")), code(f.Tag.Get("validate")), doc)
	return err
}

func code(s string) string {
	if s == "" {
		return ""
	}
	return "`" + s + "`"
}

// nestedStruct returns the struct type that a settings field holds, and what separates its fields in a name.
func nestedStruct(t reflect.Type) (reflect.Type, string) {
	inThisPackage := t.PkgPath() == reflect.TypeFor[Settings]().PkgPath()
	switch {
	case t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct && t.Elem().PkgPath() == reflect.TypeFor[Settings]().PkgPath():
		return t.Elem(), "[]."
	case t.Kind() == reflect.Struct && inThisPackage:
		return t, "."
	}
	return nil, ""
}
