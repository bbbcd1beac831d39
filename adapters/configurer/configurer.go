package configurer

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"cactusroute.dev/core/bundler"
)

// Load reads a settings file into v, which contains the defaults. Errors give the file and line of each unknown field
// and each value of a wrong type.
func Load(file string, v any) (err error) {
	_, err = load(file, v)
	return err
}

func load(file string, v any) (bundler.Lines, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read settings file: %w", err)
	}
	lines, errs := bundler.Decode(file, data, v)
	return lines, errors.Join(errs...)
}

// Checker is implemented by settings with constraints beyond their types; Check returns SettingErrors for violations.
type Checker interface {
	Check() error
}

// LoadChecked is Load followed by v.Check, to whose errors it adds the file and the line.
func LoadChecked(file string, v Checker) error {
	lines, err := load(file, v)
	if err != nil {
		return err
	}
	return addLocation(file, lines, v.Check())
}

// addLocation converts each SettingError to a bundler.FieldError with file and line; a missing field gets the line of
// the closest enclosing object.
func addLocation(file string, lines bundler.Lines, err error) error {
	if err == nil {
		return nil
	}
	if joined, ok := err.(interface{ Unwrap() []error }); ok { //nolint:errorlint // converted one by one
		var errs []error
		for _, e := range joined.Unwrap() {
			errs = append(errs, addLocation(file, lines, e))
		}
		return errors.Join(errs...)
	}
	var settingErr *SettingError
	if !errors.As(err, &settingErr) {
		return fmt.Errorf("%s: %w", file, err)
	}
	path := "/" + settingErr.Field
	for lines[path] == 0 && path != "" {
		path = path[:strings.LastIndexByte(path, '/')]
	}
	return &bundler.FieldError{
		File: file, Line: lines[path], Field: "/" + settingErr.Field, Problem: settingErr.Problem,
		Allowed: settingErr.Allowed,
	}
}

// TLS contains the paths of the certificate, the private key and the trusted CA certificates; empty means plain TCP.
type TLS struct {
	CertFile string `json:"certFile,omitempty"`
	KeyFile  string `json:"keyFile,omitempty"`
	CAFile   string `json:"caFile,omitempty"`
}

// Place is the name and the location of a process.
type Place struct {
	Name          string `json:"name"`
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
}

// Check returns an error for each empty field.
func (p *Place) Check() error {
	var errs []error
	for _, f := range []struct{ field, value string }{
		{"place/name", p.Name}, {"place/region", p.Region}, {"place/failureDomain", p.FailureDomain},
	} {
		if f.value == "" {
			errs = append(errs, &SettingError{Field: f.field, Problem: "missing", Allowed: "a name"})
		}
	}
	return errors.Join(errs...)
}

// Machine holds what a process may use of its machine.
type Machine struct {
	// MemoryBytes is the memory above which the process may be killed; 0 means 256 MiB.
	MemoryBytes int64 `json:"memoryBytes,omitempty"`
	// Descriptors is the number of file descriptors; 0 means the limit of the process.
	Descriptors int `json:"descriptors,omitempty"`
}

// The least values of Machine with which a program serves.
const (
	minMemoryBytes = 32 << 20
	minDescriptors = 128
)

// Check returns an error for each value that is too small.
func (m *Machine) Check() error {
	var errs []error
	if m.MemoryBytes != 0 && m.MemoryBytes < minMemoryBytes {
		errs = append(errs, &SettingError{Field: "machine/memoryBytes", Problem: "out of range",
			Allowed: "0, or 33554432 and more"})
	}
	if m.Descriptors != 0 && m.Descriptors < minDescriptors {
		errs = append(errs, &SettingError{Field: "machine/descriptors", Problem: "out of range",
			Allowed: "0, or 128 and more"})
	}
	return errors.Join(errs...)
}

// SettingError is a violated constraint on the value of a setting.
type SettingError struct {
	// Field is the path of the field in the file, separated by slashes.
	Field   string
	Problem string
	Allowed string
}

// Error formats the field, the problem and the allowed values.
func (e *SettingError) Error() string {
	return fmt.Sprintf("setting %q: %s; allowed: %s", e.Field, e.Problem, e.Allowed)
}
