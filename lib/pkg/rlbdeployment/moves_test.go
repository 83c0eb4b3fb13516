package rlbdeployment

import (
	"cmp"
	"slices"
	"testing"
)

// route returns a route of a host whose requests go to services, each with the same share.
func route(prefix string, services ...string) Route {
	r := Route{Host: "h", PathPrefix: prefix, Kind: KindStream, Resumable: true}
	for _, s := range services {
		r.Shares = append(r.Shares, Share{s, 1})
	}
	return r
}

// TestMoves guards against streams that are taken for ones of another service after a config
// has moved their route.
func TestMoves(t *testing.T) {
	weighted := route("/a/", "s", "t")
	weighted.Shares[0].Weight = 2
	plain := route("/a/", "t")
	plain.Resumable = false
	for name, test := range map[string]struct {
		before, after []Route
		want          []Move
	}{
		"nothing changes":              {[]Route{route("/a/", "s", "t"), route("/a/b/", "u")}, []Route{route("/a/b/", "u"), route("/a/", "s", "t")}, nil},
		"another service":              {[]Route{route("/a/", "s")}, []Route{route("/a/", "t")}, []Move{{"s", "t"}}},
		"a split":                      {[]Route{route("/a/", "s")}, []Route{route("/a/", "s", "t")}, []Move{{"s", "t"}}},
		"other weights":                {[]Route{route("/a/", "s", "t")}, []Route{weighted}, []Move{{"s", "t"}, {"t", "s"}}},
		"a longer prefix":              {[]Route{route("/a/", "s")}, []Route{route("/a/", "s"), route("/a/b/", "t")}, []Move{{"s", "t"}}},
		"the longer prefix goes":       {[]Route{route("/a/", "s"), route("/a/b/", "t")}, []Route{route("/a/", "s")}, []Move{{"t", "s"}}},
		"a route is removed":           {[]Route{route("/a/", "s"), route("/b/", "t")}, []Route{route("/a/", "s")}, nil},
		"a route is added":             {[]Route{route("/a/", "s")}, []Route{route("/a/", "s"), route("/b/", "t")}, nil},
		"a route that is not resumed":  {[]Route{route("/a/", "s")}, []Route{plain}, nil},
		"two routes exchange services": {[]Route{route("/a/", "s"), route("/b/", "t")}, []Route{route("/a/", "t"), route("/b/", "s")}, []Move{{"s", "t"}, {"t", "s"}}},
	} {
		t.Run(name, func(t *testing.T) {
			before, after := NewConfig(1, test.before, nil, Limits{}), NewConfig(2, test.after, nil, Limits{})
			got := before.Moves(after, func(r *Route) bool { return r.Resumable })
			slices.SortFunc(got, func(a, b Move) int { return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To)) })
			if !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
