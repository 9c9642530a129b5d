package bundle

import (
	"reflect"

	"github.com/goccy/go-yaml/ast"

	"github.com/marigoldwood/marigoldwood/resultcode"
)

// integerFields and floatFields hold the YAML names of the numeric fields of Document.
var integerFields, floatFields = numberFields(reflect.TypeFor[Document](), map[string]bool{}, map[string]bool{})

func numberFields(t reflect.Type, integers, floats map[string]bool) (map[string]bool, map[string]bool) {
	for i := range t.NumField() {
		field := t.Field(i)
		kind := field.Type
		if kind.Kind() == reflect.Slice {
			kind = kind.Elem()
		}
		switch kind.Kind() {
		case reflect.Struct:
			numberFields(kind, integers, floats)
		case reflect.Int, reflect.Uint32, reflect.Uint64:
			integers[yamlName(field)] = true
		case reflect.Float64:
			floats[yamlName(field)] = true
		}
	}
	return integers, floats
}

// checkNumbers rejects numbers that the YAML library would change without an error: for an integer field, it decodes
// 1.9, quoted or not, as 1.
func checkNumbers(body ast.Node) error {
	v := &numberVisitor{}
	ast.Walk(v, body)
	if v.err != nil {
		return v.err
	}
	return nil
}

type numberVisitor struct{ err *resultcode.Error }

// Visit implements ast.Visitor. It stops at the first invalid number.
func (v *numberVisitor) Visit(node ast.Node) ast.Visitor {
	if v.err != nil {
		return nil
	}
	switch n := node.(type) {
	case *ast.MappingValueNode:
		field := n.Key.GetToken().Value
		if floatFields[field] && n.Value.Type() == ast.FloatType {
			return nil
		}
		if integerFields[field] && n.Value.Type() == ast.StringType {
			v.reject(field, n.Value, "must be an unquoted integer")
		}
	case *ast.FloatNode:
		v.reject("", n, "must be an integer, or quoted if it is a string")
	}
	return v
}

func (v *numberVisitor) reject(field string, value ast.Node, rule string) {
	v.err = resultcode.Errorf(resultcode.BundleInvalidValue, field,
		"value %s on line %d is not allowed: %s", value, value.GetToken().Position.Line, rule)
}
