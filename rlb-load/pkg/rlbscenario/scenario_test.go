package rlbscenario

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func write(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "s.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

const validScenario = "[scenario]\nname = x\nduration = 100s\n[class.a]\nmodels = m, n\nrate = 10\nrise = 3\ntokens = 8\nprompt = 100\nsessions = 4\nfirst_token = 340ms\nnext_token = 57ms\n"

func TestArrivals(t *testing.T) {
	s, err := Load(write(t, validScenario))
	Convey("a scenario is read, and its arrivals are determined by the seed", t, func() {
		So(err, ShouldBeNil)
		So(s.Classes[0].Models, ShouldResemble, []string{"m", "n"})
		So(s.Arrivals(1, 1), ShouldResemble, s.Arrivals(1, 1))
		So(s.Arrivals(1, 1), ShouldNotResemble, s.Arrivals(2, 1))
	})
	Convey("with a rise of 3 the mean rate is twice the initial rate", t, func() {
		n := len(s.Arrivals(1, 1))
		So(n, ShouldBeBetween, 1800, 2200)
		first := 0
		for _, a := range s.Arrivals(1, 1) {
			if a.At < 10*time.Second {
				first++
			}
		}
		So(first, ShouldBeBetween, 80, 140)
		So(len(s.Arrivals(1, 2)), ShouldBeBetween, 3600, 4400)
	})
	Convey("missing and invalid values are errors", t, func() {
		_, err := Load(write(t, "[scenario]\nduration = 5\n"))
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, `[scenario] duration: time: missing unit in duration "5"`)
		_, err = Load(write(t, "[scenario]\nduration = 5s\n"))
		So(err.Error(), ShouldContainSubstring, "no section [class.NAME]")
	})
}
