package settings

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/token"

	"github.com/marigoldwood/marigoldwood/resultcode"
)

// maxKeyFileMode holds the permission bits that a private key file may have.
const maxKeyFileMode = 0o600

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		return yamlName(f)
	})
	v.RegisterCustomTypeFunc(addressText, netip.Addr{}, netip.AddrPort{})
	return v
}

// addressText returns an address as text, and an invalid one as "", so that the validator rejects it where a value is required.
func addressText(field reflect.Value) any {
	switch v := field.Interface().(type) {
	case netip.Addr:
		if v.IsValid() {
			return v.String()
		}
	case netip.AddrPort:
		if v.IsValid() && v.Port() != 0 {
			return v.String()
		}
	}
	return ""
}

// Load reads, decodes and validates the settings file at path, applies defaults and checks the permissions of the key files.
// The error is a *resultcode.Error.
func Load(path string) (*Settings, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	s, err := Parse(data)
	if err != nil {
		return nil, err
	}
	return s, checkFiles(s)
}

func readFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, resultcode.Errorf(resultcode.SettingsUnreadable, path, "%v", err)
	}
	return data, nil
}

// Parse decodes and validates settings and applies defaults. It does not open the files that they name. The error is a
// *resultcode.Error.
func Parse(data []byte) (*Settings, error) {
	s := &Settings{}
	if err := decode(data, s); err != nil {
		return nil, err
	}
	return s, checkSecurity(s)
}

// decode applies defaults to the settings struct that s points to, decodes data into it and validates the fields.
func decode(data []byte, s any) error {
	if err := setDefaults(reflect.ValueOf(s).Elem()); err != nil {
		return err
	}
	if err := decodeYAML(data, s); err != nil {
		return err
	}
	return checkFields(s)
}

// decodeYAML decodes data into s. The library panics on some texts, such as a tag before text where a list is expected.
func decodeYAML(data []byte, s any) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = resultcode.Errorf(resultcode.SettingsSyntax, "", "%scannot be decoded: %v", positionOfTag(data), p)
		}
	}()
	decoder := yaml.NewDecoder(bytes.NewReader(data), yaml.DisallowUnknownField())
	if err := decoder.Decode(s); err != nil {
		return yamlError(err)
	}
	return nil
}

// positionOfTag returns the position of the first tag as the start of a message, or "" if there is none: it is the likely cause of a panic.
func positionOfTag(data []byte) string {
	for _, t := range lexer.Tokenize(string(data)) {
		if t.Type == token.TagType {
			return fmt.Sprintf("[%d:%d] tag %s: ", t.Position.Line, t.Position.Column, strings.TrimSpace(t.Value))
		}
	}
	return ""
}

// yamlError returns a YAML error as a *resultcode.Error, which distinguishes unknown fields from syntax errors.
func yamlError(err error) error {
	text := strings.TrimSpace(yaml.FormatError(err, false, false))
	var unknown *yaml.UnknownFieldError
	if errors.As(err, &unknown) {
		return resultcode.Errorf(resultcode.SettingsUnknownField, "", "%s", text)
	}
	return resultcode.Errorf(resultcode.SettingsSyntax, "", "%s", text)
}

// checkFields validates the fields by their "validate" tags and returns the first failure.
func checkFields(s any) error {
	var invalid validator.ValidationErrors
	if !errors.As(validate.Struct(s), &invalid) {
		return nil
	}
	first := invalid[0]
	_, field, _ := strings.Cut(first.Namespace(), ".")
	return resultcode.Errorf(resultcode.SettingsInvalidValue, field,
		"value %q is not allowed: must satisfy %s", fmt.Sprint(first.Value()), violatedRule(first))
}

// violatedRule returns the validation rule that the field violates, as its "validate" tag states it.
func violatedRule(f validator.FieldError) string {
	if f.Param() == "" {
		return f.Tag()
	}
	return f.Tag() + "=" + f.Param()
}

// checkSecurity checks that certificates and keys are set for every port that does not use plain text.
func checkSecurity(s *Settings) error {
	if !s.Peers.Plain {
		if err := s.Peers.TLS.checkComplete("peers.tls"); err != nil {
			return err
		}
		if s.Peers.ProbeKeyFile == "" {
			return missingError("peers.probe_key_file")
		}
	}
	if !s.Operator.Plain {
		return s.Operator.TLS.checkComplete("operator.tls")
	}
	return nil
}

// checkComplete checks that all files are set. The prefix of their names in errors is field.
func (t *TLS) checkComplete(field string) error {
	switch {
	case t.Certificate == "":
		return missingError(field + ".certificate")
	case t.Key == "":
		return missingError(field + ".key")
	case t.Authority == "":
		return missingError(field + ".authority")
	}
	return nil
}

// missingError returns the error of a field that is required unless "plain" is true.
func missingError(field string) error {
	return resultcode.Errorf(resultcode.SettingsInvalidValue, field, "value %q is not allowed: required unless plain is true", "")
}

func checkFiles(s *Settings) error {
	for _, path := range []string{s.Peers.TLS.Key, s.Operator.TLS.Key, s.Peers.ProbeKeyFile} {
		if err := CheckKeyFile(path); err != nil {
			return err
		}
	}
	return nil
}

// CheckKeyFile returns an error if the private key file at path grants permissions to other users than its owner. An empty path
// is accepted.
func CheckKeyFile(path string) error {
	if path == "" {
		return nil
	}
	info, err := os.Stat(path)
	if err != nil {
		return resultcode.Errorf(resultcode.SettingsUnreadable, path, "%v", err)
	}
	if mode := info.Mode().Perm(); mode&^maxKeyFileMode != 0 {
		return resultcode.Errorf(resultcode.SettingsKeyPermissions, path, "mode %04o, at most %04o allowed", mode, maxKeyFileMode)
	}
	return nil
}

// setDefaults sets the fields of the struct, and of nested structs, to the values of their "default" tags.
func setDefaults(v reflect.Value) error {
	for i := range v.NumField() {
		field, tag := v.Field(i), v.Type().Field(i).Tag.Get("default")
		if field.Kind() == reflect.Struct && tag == "" {
			if err := setDefaults(field); err != nil {
				return err
			}
			continue
		}
		if tag == "" {
			continue
		}
		if err := setDefault(field, tag); err != nil {
			return err
		}
	}
	return nil
}

func setDefault(field reflect.Value, text string) error {
	if _, ok := field.Interface().(time.Duration); ok {
		d, err := time.ParseDuration(text)
		field.SetInt(int64(d))
		return err
	}
	return yaml.Unmarshal([]byte(text), field.Addr().Interface())
}

// yamlName returns the name of the field in the settings file.
func yamlName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}
