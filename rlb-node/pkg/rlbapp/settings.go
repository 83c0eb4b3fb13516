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

// settingsPollInterval is the interval of checks of the settings file, which may
// change without a signal.
const settingsPollInterval = 2 * time.Second

func retryBudgetLimits(settings *rlbsettings.Settings) rlbretrybudget.Limits {
	return rlbretrybudget.Limits{
		Ratio: settings.Ratio(rlbsettings.NodeRetryRatio), Allowance: settings.Ratio(rlbsettings.NodeRetryAllowance),
		Window: settings.Duration(rlbsettings.NodeRetryWindow),
	}
}

// watchSettings reloads the settings on SIGHUP and when the file has changed, until
// ctx ends.
func (a *app) watchSettings(ctx context.Context) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	modTime := a.settingsModTime()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			a.reload("signal")
		case <-ticker.C:
			if now := a.settingsModTime(); !now.Equal(modTime) {
				modTime = now
				a.reload("file has changed")
			}
		}
	}
}

// settingsModTime returns the modification time of the settings file; zero: the file
// is not accessible.
func (a *app) settingsModTime() time.Time {
	info, err := os.Stat(a.SettingsPath)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload reads the settings and puts those in force that need no restart. A file that
// cannot be read changes nothing.
func (a *app) reload(reason string) {
	settings, err := a.Reload()
	if err != nil {
		a.Log.WithError(err).WithField("reason", reason).Error("failed to read the settings; the previous ones stay in force")
		return
	}
	a.grace.Store(int64(settings.Duration(rlbsettings.NodeGrace)))
	a.view.SetBound(settings.Duration(rlbsettings.NodeDrain))
	a.proxy.SetRetryBudget(retryBudgetLimits(settings))
	fields := log.Fields{"reason": reason, "needs_restart": a.needsRestart(settings)}
	a.Log.WithFields(fields).Info("settings reloaded")
}

// needsRestart returns the names of changed settings that take effect only after a
// restart.
func (a *app) needsRestart(settings *rlbsettings.Settings) []string {
	var names []string
	for _, key := range []*rlbsettings.Key{
		rlbsettings.InstanceID, rlbsettings.InstanceDomain, rlbsettings.PlatformObjects, rlbsettings.NodeCallers,
		rlbsettings.NodeReadiness, rlbsettings.NodeInternal, rlbsettings.NodeAdvertise, rlbsettings.NodeInternalPorts, rlbsettings.NodeLeaseTTL, rlbsettings.NodeLoadWindow, rlbsettings.NodeReportInterval,
		rlbsettings.NodeSpillover, rlbsettings.NodeSpilloverGain, rlbsettings.NodeSpilloverRate,
	} {
		if settings.Text(key) != a.Settings.Text(key) {
			names = append(names, key.Section+"."+key.Name)
		}
	}
	return names
}
