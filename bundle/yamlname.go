package bundle

import (
	"reflect"
	"strings"
)

// yamlName returns the YAML name of a struct field, so that errors use the names of the document.
func yamlName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}
