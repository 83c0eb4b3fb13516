package rlbhttp

import (
	"net/url"
	"strings"
)

// RoutingPath returns the path of a URL by which its route is found: decoded, but for encoded
// slashes, which stay encoded as they separate no segments.
func RoutingPath(u *url.URL) string {
	if !strings.Contains(u.EscapedPath(), "%") {
		return u.Path
	}
	segments := strings.Split(u.EscapedPath(), "/")
	for i, segment := range segments {
		if decoded, err := url.PathUnescape(segment); err == nil {
			segments[i] = strings.ReplaceAll(decoded, "/", "%2F")
		}
	}
	return strings.Join(segments, "/")
}
