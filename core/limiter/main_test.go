package limiter

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// TestMain fixes the seed of the property-based tests, so that runs are reproducible; -rapid.seed sets another one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	fmt.Println("rapid seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}
