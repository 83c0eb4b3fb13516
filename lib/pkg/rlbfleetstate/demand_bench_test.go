package rlbfleetstate

import (
	"fmt"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// BenchmarkDemand reports the encoded size of rows with demand: of a gateway with
// some models in use, and of a failure domain with all 1,700 models in use.
func BenchmarkDemand(b *testing.B) {
	demand := func(models int) (all []Demand) {
		for i := range models {
			all = append(all, Demand{Model: fmt.Sprintf("model-%04d-14g", i), Requests: 1.75, InFlight: 3})
		}
		return all
	}
	rows := map[string]Process{
		"gateway, models=0":           {},
		"gateway, models=200":         {Demand: demand(200)},
		"failure domain, models=1700": {Domain: &DomainSummary{Gateways: 33, Demand: demand(1700)}},
	}
	for name, row := range rows {
		b.Run(name, func(b *testing.B) {
			size := 0
			for b.Loop() {
				encoded, err := msgpack.Marshal(Update{Processes: []Process{row}})
				if err != nil {
					b.Fatal(err)
				}
				size = len(encoded)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
