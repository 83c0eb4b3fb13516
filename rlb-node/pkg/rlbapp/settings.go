package rlbapp

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbretrybudget"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbsettings"
)

// settingsPeriod is the time between two looks at the settings file: it may
// change without a signal.
const settingsPeriod = 2 * time.Second

func budgetTerms(settings *rlbsettings.Settings) rlbretrybudget.Limits {
	return rlbretrybudget.Limits{
		Ratio: settings.Ratio(rlbsettings.NodeRetryRatio), Allowance: settings.Ratio(rlbsettings.NodeRetryAllowance),
		Window: settings.Duration(rlbsettings.NodeRetryWindow),
	}
}

// followSettings reads the settings again when told to or when the file has
// changed, until ctx ends.
func (a *app) followSettings(ctx context.Context) {
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGHUP)
	defer signal.Stop(told)
	ticker := time.NewTicker(settingsPeriod)
	defer ticker.Stop()
	written := a.settingsWritten()
	for {
		select {
		case <-ctx.Done():
			return
		case <-told:
			a.reload("signal")
		case <-ticker.C:
			if now := a.settingsWritten(); !now.Equal(written) {
				written = now
				a.reload("file has changed")
			}
		}
	}
}

// settingsWritten returns when the settings file was written last; zero: it
// cannot be seen.
func (a *app) settingsWritten() time.Time {
	info, err := os.Stat(a.SettingsPath)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload puts the settings in force that need no restart. A file that cannot be
// read changes nothing.
func (a *app) reload(reason string) {
	settings, err := a.Reload()
	if err != nil {
		a.Log.WithError(err).WithField("reason", reason).Error("settings cannot be read; the old ones stay in force")
		return
	}
	a.grace.Store(int64(settings.Duration(rlbsettings.NodeGrace)))
	a.front.SetBudget(budgetTerms(settings))
	fields := log.Fields{"reason": reason, "needs_restart": a.needsRestart(settings)}
	a.Log.WithFields(fields).Info("settings reloaded")
}

// needsRestart returns the changed settings that hold from the next start.
func (a *app) needsRestart(settings *rlbsettings.Settings) []string {
	var names []string
	for _, key := range []*rlbsettings.Key{
		rlbsettings.InstanceID, rlbsettings.InstanceDomain, rlbsettings.PlatformObjects, rlbsettings.NodeCallers,
		rlbsettings.NodeReadiness, rlbsettings.NodeInternal, rlbsettings.NodeAdvertise, rlbsettings.NodeInternalPorts, rlbsettings.NodeLeaseTTL, rlbsettings.NodeLoadWindow,
	} {
		if settings.Text(key) != a.Settings.Text(key) {
			names = append(names, key.Section+"."+key.Name)
		}
	}
	return names
}
