// Package rlbcommon holds what every component of a program is given: the
// logger and the settings.
package rlbcommon

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/apex/log"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlblog"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbsettings"

	jsonhandler "github.com/apex/log/handlers/json"
)

// Common is shared by the components of one program.
type Common struct {
	Log      *log.Entry
	Settings *rlbsettings.Settings
	// SettingsPath is that of the settings file; empty: there is none.
	SettingsPath string
	// Reload reads the settings again, as at the start.
	Reload func() (*rlbsettings.Settings, error)
}

// New returns a Common that logs JSON lines to w, each with the instance.
func New(w io.Writer, settings *rlbsettings.Settings) (*Common, error) {
	return newCommon(jsonhandler.New(w), settings)
}

// NewBounded returns a Common whose log lines are bounded and never block, and
// its clean-up function, which writes those that wait.
func NewBounded(w io.Writer, settings *rlbsettings.Settings) (*Common, func(), error) {
	handler, cleanUp := rlblog.New(w, rlblog.DefaultOpts, time.Now)
	common, err := newCommon(handler, settings)
	return common, cleanUp, err
}

func newCommon(handler log.Handler, settings *rlbsettings.Settings) (*Common, error) {
	level, err := log.ParseLevel(settings.Text(rlbsettings.LogLevel))
	if err != nil {
		return nil, fmt.Errorf("log level %q: %w", settings.Text(rlbsettings.LogLevel), err)
	}
	logger := &log.Logger{Handler: handler, Level: level}
	entry := logger.WithField("instance", settings.Text(rlbsettings.InstanceID))
	return &Common{Log: entry, Settings: settings}, nil
}

// ReadyLine is the line a program prints on standard output when it serves.
type ReadyLine struct {
	Ready    bool              `json:"ready"`
	Program  string            `json:"program"`
	Instance string            `json:"instance"`
	Listen   map[string]string `json:"listen"` // purpose to IP:port
}

// PrintReady writes r as one JSON line.
func PrintReady(w io.Writer, r ReadyLine) error {
	r.Ready = true
	return json.NewEncoder(w).Encode(r)
}
