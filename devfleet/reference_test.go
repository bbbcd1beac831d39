package devfleet

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cactusroute.dev/agent"
	"cactusroute.dev/control"
	"cactusroute.dev/core/bundler"
	"cactusroute.dev/router"
)

// Guards against fields of settings and bundles that the configuration page omits.
func TestConfigurationPageNamesEveryField(t *testing.T) {
	page, err := os.ReadFile("../docs/configuration.md")
	assert.NilError(t, err)
	for _, v := range []any{router.Settings{}, agent.Settings{}, control.Settings{}, bundler.Bundle{}} {
		for _, field := range fieldNames(reflect.TypeOf(v)) {
			assert.Check(t, strings.Contains(string(page), "`"+field+"`"), "%T: field %s", v, field)
		}
	}
}

func fieldNames(t reflect.Type) (names []string) {
	for t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct {
		return nil
	}
	for f := range t.Fields() {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		names = append(append(names, name), fieldNames(f.Type)...)
	}
	return names
}
