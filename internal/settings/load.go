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

	"github.com/marigoldwood/marigoldwood/resultcode"
)

// keyFileMode is the loosest permission of a private key file.
const keyFileMode = 0o600

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		return yamlName(f)
	})
	v.RegisterCustomTypeFunc(textValue, netip.Addr{}, netip.AddrPort{})
	return v
}

// textValue lets "required" see an invalid address as an empty string.
func textValue(field reflect.Value) any {
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

// Load reads and checks the settings file at path. The error is a *resultcode.Error.
func Load(path string) (*Settings, error) {
	data, err := read(path)
	if err != nil {
		return nil, err
	}
	s, err := Parse(data)
	if err != nil {
		return nil, err
	}
	return s, checkFiles(s)
}

func read(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, resultcode.Errorf(resultcode.SettingsUnreadable, path, "%v", err)
	}
	return data, nil
}

// Parse decodes and checks settings and fills in defaults. It does not look at the files that they name.
func Parse(data []byte) (*Settings, error) {
	s := &Settings{}
	if err := decode(data, s); err != nil {
		return nil, err
	}
	return s, checkSecurity(s)
}

// decode fills in defaults, decodes data into the settings struct that s points to and checks the fields.
func decode(data []byte, s any) error {
	if err := setDefaults(reflect.ValueOf(s).Elem()); err != nil {
		return err
	}
	decoder := yaml.NewDecoder(bytes.NewReader(data), yaml.DisallowUnknownField())
	if err := decoder.Decode(s); err != nil {
		return decodeError(err)
	}
	return checkFields(s)
}

func decodeError(err error) error {
	text := strings.TrimSpace(yaml.FormatError(err, false, false))
	var unknown *yaml.UnknownFieldError
	if errors.As(err, &unknown) {
		return resultcode.Errorf(resultcode.SettingsUnknownField, "", "%s", text)
	}
	return resultcode.Errorf(resultcode.SettingsSyntax, "", "%s", text)
}

func checkFields(s any) error {
	var invalid validator.ValidationErrors
	if !errors.As(validate.Struct(s), &invalid) {
		return nil
	}
	f := invalid[0]
	_, field, _ := strings.Cut(f.Namespace(), ".")
	return resultcode.Errorf(resultcode.SettingsInvalidValue, field, "value %q is not allowed: must satisfy %s", fmt.Sprint(f.Value()), rule(f))
}

func rule(f validator.FieldError) string {
	if f.Param() == "" {
		return f.Tag()
	}
	return f.Tag() + "=" + f.Param()
}

func checkSecurity(s *Settings) error {
	if !s.Peers.Plain {
		if err := s.Peers.TLS.complete("peers.tls"); err != nil {
			return err
		}
		if s.Peers.ProbeKeyFile == "" {
			return missing("peers.probe_key_file")
		}
	}
	if !s.Operator.Plain {
		return s.Operator.TLS.complete("operator.tls")
	}
	return nil
}

func (t *TLS) complete(field string) error {
	switch {
	case t.Certificate == "":
		return missing(field + ".certificate")
	case t.Key == "":
		return missing(field + ".key")
	case t.Authority == "":
		return missing(field + ".authority")
	}
	return nil
}

func missing(field string) error {
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

// CheckKeyFile returns an error when the private key file at path can be read by others than its owner. An empty
// path is accepted.
func CheckKeyFile(path string) error {
	if path == "" {
		return nil
	}
	info, err := os.Stat(path)
	if err != nil {
		return resultcode.Errorf(resultcode.SettingsUnreadable, path, "%v", err)
	}
	if mode := info.Mode().Perm(); mode&^keyFileMode != 0 {
		return resultcode.Errorf(resultcode.SettingsKeyPermissions, path, "mode %04o, at most %04o allowed", mode, keyFileMode)
	}
	return nil
}

// setDefaults fills the struct from its "default" tags.
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

func yamlName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}
