// Package rlbscenario reads load scenarios and generates their arrivals.
package rlbscenario

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Scenario is an open-loop load: arrivals don't wait for earlier answers.
type Scenario struct {
	Name     string
	Duration time.Duration
	Classes  []Class
}

// Class is a class of requests.
type Class struct {
	Name       string
	Models     []string
	Rate       float64       // arrivals per second at the start
	Rise       float64       // rate at the end divided by the rate at the start
	Tokens     int           // mean number in an answer
	Prompt     int           // tokens in a prompt
	Sessions   int           // number of sessions; the prompts of a session share a prefix
	FirstToken time.Duration // target for the time to the first token
	NextToken  time.Duration // target for the mean time of a token after the first
}

// classPrefix is the prefix of the section names of classes.
const classPrefix = "class."

// Load reads a scenario from an INI file.
func Load(path string) (Scenario, error) {
	file, err := ini.Load(path)
	if err != nil {
		return Scenario{}, fmt.Errorf("read scenario: %w", err)
	}
	p := &parser{path: path}
	head := file.Section("scenario")
	s := Scenario{Name: head.Key("name").String(), Duration: p.duration(head, "duration")}
	for _, section := range file.Sections() {
		name, isClass := strings.CutPrefix(section.Name(), classPrefix)
		if !isClass {
			continue
		}
		s.Classes = append(s.Classes, Class{
			Name: name, Models: section.Key("models").Strings(","),
			Rate: p.number(section, "rate"), Rise: p.number(section, "rise"),
			Tokens: int(p.number(section, "tokens")), Prompt: int(p.number(section, "prompt")), Sessions: int(p.number(section, "sessions")),
			FirstToken: p.duration(section, "first_token"), NextToken: p.duration(section, "next_token"),
		})
	}
	if p.err == nil && len(s.Classes) == 0 {
		p.err = fmt.Errorf("%s: no section [%sNAME]", path, classPrefix)
	}
	return s, p.err
}

// parser reads values and keeps the first error.
type parser struct {
	path string
	err  error
}

func (p *parser) duration(s *ini.Section, key string) time.Duration {
	d, err := s.Key(key).Duration()
	p.recordError(s, key, err)
	return d
}

func (p *parser) number(s *ini.Section, key string) float64 {
	f, err := s.Key(key).Float64()
	if err == nil && f <= 0 {
		err = fmt.Errorf("%g must be above 0", f)
	}
	p.recordError(s, key, err)
	return f
}

func (p *parser) recordError(s *ini.Section, key string, err error) {
	if err != nil && p.err == nil {
		p.err = fmt.Errorf("%s: [%s] %s: %w", p.path, s.Name(), key, err)
	}
}

// Arrival is one request of a scenario.
type Arrival struct {
	At      time.Duration // since the start
	Class   int
	Model   string
	Session int
	Tokens  int
	Number  int
}

// Arrivals generates the arrivals of a seed, sorted by time. All rates are multiplied by load.
func (s Scenario) Arrivals(seed uint64, load float64) []Arrival {
	var all []Arrival
	for i, c := range s.Classes {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		for at := time.Duration(0); ; {
			rateFactor := 1 + (c.Rise-1)*at.Seconds()/s.Duration.Seconds()
			at += time.Duration(rng.ExpFloat64() / (c.Rate * load * rateFactor) * float64(time.Second))
			if at >= s.Duration {
				break
			}
			all = append(all, Arrival{
				At: at, Class: i, Model: c.Models[rng.IntN(len(c.Models))], Session: rng.IntN(c.Sessions),
				Tokens: 1 + rng.IntN(2*c.Tokens-1),
			})
		}
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	for n := range all {
		all[n].Number = n
	}
	return all
}
