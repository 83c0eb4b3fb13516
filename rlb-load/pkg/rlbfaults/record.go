package rlbfaults

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"

	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbrecord"
)

// checkRecords compares the answers to callers with the runs that the stand-ins recorded.
func (r *runner) checkRecords() error {
	runs := map[string]int{} // by idempotency key, or by request id if the request has none
	for _, path := range r.opts.Records {
		if err := eachRun(path, func(run rlbrecord.Run) {
			if r.notRun[run.RequestID] {
				r.verdict.FalseNotRun++
			}
			name := run.Key
			if name == "" {
				name = run.RequestID
			}
			if runs[name]++; runs[name] > 1 && r.nonIdempotent[name] {
				r.verdict.SecondRuns++
			}
		}); err != nil {
			return err
		}
	}
	return nil
}

func eachRun(path string, f func(rlbrecord.Run)) error {
	file, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("read record: %w", err)
	}
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var run rlbrecord.Run
		if err := json.Unmarshal(lines.Bytes(), &run); err != nil {
			continue // truncated when the stand-in was killed
		}
		f(run)
	}
	return lines.Err()
}
