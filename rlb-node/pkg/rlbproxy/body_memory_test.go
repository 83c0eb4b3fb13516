package rlbproxy

import (
	"net/http"
	"strings"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestBodiesOfCallersTakeBoundedMemoryTogether guards against an instance that runs out of
// memory, and ends all its requests, because many callers send long bodies at a time.
func TestBodiesOfCallersTakeBoundedMemoryTogether(t *testing.T) {
	Convey("Given requests in flight with long bodies", t, func() {
		f := newFixture(t)
		free := make(chan struct{})
		began := make(chan struct{}, 1000)
		f.add(t, "e1", "plain", "a").Intercept = func(http.ResponseWriter, *http.Request, int) bool {
			began <- struct{}{}
			<-free
			return false
		}
		body := strings.Repeat("a", 3<<20)
		const requests = 3 * maxBodies / (3 << 20)
		f.view.ApplyConfig([]byte(strings.Replace(strings.Replace(config, `"Version":3`, `"Version":4`, 1), `"MaxBodyBytes":65536`, `"MaxBodyBytes":4194304`, 1)), "test")
		statuses := make(chan int, requests)
		var sending sync.WaitGroup
		for range requests {
			sending.Go(func() { statuses <- f.send(http.MethodPost, "/write/x", body, nil).status })
		}
		taken := 0
		for ended := 0; taken+ended < requests; { // until each is in flight or refused
			select {
			case <-began:
				taken++
			case status := <-statuses:
				So(status, ShouldEqual, http.StatusServiceUnavailable)
				ended++
			}
		}
		Convey("some are refused as not run, the others are answered, and so are small ones meanwhile", func() {
			So(taken, ShouldBeBetween, 0, maxBodies/(2<<20))
			small := make(chan int, 1)
			go func() { small <- f.send(http.MethodPost, "/write/x", "b", nil).status }()
			<-began
			close(free)
			So(<-small, ShouldEqual, http.StatusOK)
			sending.Wait()
			for range taken {
				So(<-statuses, ShouldEqual, http.StatusOK)
			}
			Convey("what they took is free again", func() {
				So(f.send(http.MethodPost, "/write/x", body, nil).status, ShouldEqual, http.StatusOK)
			})
		})
	})
}
