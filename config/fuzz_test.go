package config_test

import (
	"os"
	"testing"

	"dillsaddle.example/dillsaddle/config"
)

// FuzzParse checks that Parse doesn't panic, and that it reports a fatal fault for
// every document that it rejects.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"buscodigo", "jordan"} {
		text, err := os.ReadFile("../examples/" + name + "/config.json")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Add([]byte(`{"version":1,"customers":[{}],"tiers":[null],"policies":7,"limits":[]}`))
	f.Add([]byte(`{"version":-1,"version":2}`))
	f.Add([]byte("{"))
	f.Fuzz(func(t *testing.T, text []byte) {
		d, faults := config.Parse("document", text)
		if d == nil && !faults.Fatal() {
			t.Fatal("Parse rejected a document without a fatal fault")
		}
	})
}
