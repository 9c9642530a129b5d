package bundle

import (
	"reflect"

	"github.com/goccy/go-yaml/ast"

	"github.com/marigoldwood/marigoldwood/resultcode"
)

// wholeFields and fractionFields are the YAML names of the fields of the document that hold numbers.
var wholeFields, fractionFields = numberFields(reflect.TypeFor[Document](), map[string]bool{}, map[string]bool{})

func numberFields(t reflect.Type, whole, fraction map[string]bool) (map[string]bool, map[string]bool) {
	for i := range t.NumField() {
		field := t.Field(i)
		kind := field.Type
		if kind.Kind() == reflect.Slice {
			kind = kind.Elem()
		}
		switch kind.Kind() {
		case reflect.Struct:
			numberFields(kind, whole, fraction)
		case reflect.Int, reflect.Uint32, reflect.Uint64:
			whole[yamlName(field)] = true
		case reflect.Float64:
			fraction[yamlName(field)] = true
		}
	}
	return whole, fraction
}

// checkNumbers refuses numbers that the YAML library would change without an error: it reads 1.9, with or without
// quotes, as 1 where a whole number is expected.
func checkNumbers(body ast.Node) error {
	w := &numberWalk{}
	ast.Walk(w, body)
	if w.err != nil {
		return w.err
	}
	return nil
}

type numberWalk struct{ err *resultcode.Error }

// Visit looks at one node of the document.
func (w *numberWalk) Visit(node ast.Node) ast.Visitor {
	if w.err != nil {
		return nil
	}
	switch n := node.(type) {
	case *ast.MappingValueNode:
		field := n.Key.GetToken().Value
		if fractionFields[field] && n.Value.Type() == ast.FloatType {
			return nil
		}
		if wholeFields[field] && n.Value.Type() == ast.StringType {
			w.refuse(field, n.Value, "must be a whole number without quotes")
		}
	case *ast.FloatNode:
		w.refuse("", n, "must be a whole number, or in quotes if it is text")
	}
	return w
}

func (w *numberWalk) refuse(field string, value ast.Node, rule string) {
	w.err = resultcode.Errorf(resultcode.BundleInvalidValue, field, "value %s in line %d is not allowed: %s", value, value.GetToken().Position.Line, rule)
}
