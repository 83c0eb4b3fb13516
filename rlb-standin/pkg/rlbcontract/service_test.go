package rlbcontract

import (
	"encoding/json"
	"flag"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/google/uuid"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbrelay"
	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbfakeservice"
	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbfault"
	. "github.com/smartystreets/goconvey/convey"
)

var serviceURL = flag.String("service", "", "URL of a plain service that serves GET, to test against the contract")

// transport opens a connection for each call: on a reused connection net/http
// retries a GET whose connection was closed.
var transport = &http.Transport{DisableKeepAlives: true}

// call sends one request and returns the answer, its body, and the error of sending
// the request or reading the body.
func call(url, request string) (*http.Response, []byte, error) {
	r, err := http.NewRequest(http.MethodGet, url, nil)
	So(err, ShouldBeNil)
	r.Header.Set(rlbrelay.HeaderRequestID, request)
	response, err := transport.RoundTrip(r)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, body, err
}

func TestService(t *testing.T) {
	standin := rlbfakeservice.New("s", nil)
	server := httptest.NewServer(standin.Handler())
	defer server.Close()
	url := *serviceURL
	if url == "" {
		url = server.URL + "/stock/list"
	}
	Convey("an answer has the ID of its request or none, and a content length or chunked encoding", t, func() {
		id := uuid.NewString()
		response, body, err := call(url, id)
		So(err, ShouldBeNil)
		So(rlbrelay.CheckIdentity(response.Header, id), ShouldBeTrue)
		So(response.ContentLength >= 0 || len(response.TransferEncoding) > 0, ShouldBeTrue)
		if response.ContentLength >= 0 {
			So(strconv.Itoa(len(body)), ShouldEqual, response.Header.Get("Content-Length"))
		}
	})
	if *serviceURL != "" {
		return
	}
	faults := []struct {
		fault  rlbfault.Fault
		status int  // 0: no answer
		broken bool // the body cannot be read to its end
		ran    bool
	}{
		{rlbfault.Refuse, 503, false, false},
		{rlbfault.Fail, 500, false, true},
		{rlbfault.CutBefore, 0, true, true},
		{rlbfault.CutMid, 200, true, true},
		{rlbfault.Misdelivered, 200, false, true},
	}
	for _, c := range faults {
		Convey(string(c.fault), t, func() {
			So(standin.Faults().Set(rlbfault.Plan{Next: []rlbfault.Fault{c.fault}}), ShouldBeNil)
			before := len(standin.Runs())
			response, _, err := call(url, "r")
			So(err != nil, ShouldEqual, c.broken)
			So(len(standin.Runs())-before, ShouldEqual, map[bool]int{true: 1}[c.ran])
			if c.status == 0 {
				return
			}
			So(response.StatusCode, ShouldEqual, c.status)
			So(response.Header.Get(rlbrelay.HeaderNotRun) == "true", ShouldEqual, !c.ran)
			So(rlbrelay.CheckIdentity(response.Header, "r"), ShouldEqual, c.fault != rlbfault.Misdelivered)
		})
	}
	Convey("tests can read the record of runs over HTTP", t, func() {
		response, err := http.Get(strings.TrimSuffix(server.URL, "/") + "/record")
		So(err, ShouldBeNil)
		defer response.Body.Close()
		var runs []rlbfakeservice.Run
		So(json.NewDecoder(response.Body).Decode(&runs), ShouldBeNil)
		So(len(runs), ShouldEqual, len(standin.Runs()))
	})
}
