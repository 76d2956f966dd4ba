package tomlfile

import (
	"strings"
	"testing"
	"time"
)

type sample struct {
	Name  string
	Wait  Duration
	Limit struct {
		Sockets int `toml:"sockets"`
	}
	Instance []struct{ Name string }
}

func TestAllErrorsAreReportedWithPosition(t *testing.T) {
	var s sample
	f := Parse("f.toml", []byte("nmae = \"x\"\n\n[limit]\nsocket = 3\n\n[[instance]]\nname = \"a\"\n[[instance]]\nname = \"b\"\ncolour = 1\n"), &s)
	f.Errorf("instance[2].name", "given twice")
	f.Errorf("instance[1].listen", "none given")
	text := f.Err().Error()
	for _, want := range []string{
		"f.toml:1: nmae: unknown key, did you mean name?",
		"f.toml:4: limit.socket: unknown key, did you mean limit.sockets?",
		"f.toml:10: instance.colour: unknown key\n",
		"f.toml:9: instance[2].name: given twice",
		"f.toml:6: instance[1].listen: none given",
	} {
		if !strings.Contains(text+"\n", want) {
			t.Errorf("missing %q in\n%s", want, text)
		}
	}
}

func TestDurationsNeedUnits(t *testing.T) {
	var s sample
	if err := Parse("f", []byte(`wait = "1.5s"`), &s).Err(); err != nil || s.Wait.Duration != 1500*time.Millisecond {
		t.Errorf("got %v, %v", s.Wait, err)
	}
	for _, text := range []string{`wait = "5"`, `wait = "-1s"`, `wait = 5`, "wait = \"1s\"\nwait = \"2s\"", "wait ="} {
		if err := Parse("f", []byte(text), &s).Err(); err == nil || !strings.Contains(err.Error(), "f:") {
			t.Errorf("%s: %v, want an error that names the line", text, err)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add("name = \"x\"\n[limit]\nsockets = 1\n[[instance]]\nname = 'b'")
	f.Fuzz(func(t *testing.T, text string) {
		var s sample
		_ = Parse("f", []byte(text), &s).Err()
	})
}
