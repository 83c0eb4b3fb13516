package rlbcommand

// Help texts of the commands.
const (
	textRoot          = "Publish release notes and inspect a rhubarblb fleet"
	textNote          = "Work with release notes"
	textValidate      = "Check a release note against the version in force, without publishing it"
	textDiff          = "Show what a release note would change"
	textPublish       = "Publish a release note"
	textShow          = "Show the models, adapters and services in force"
	textHistory       = "Show the accepted notes, newest first"
	textStatus        = "Show gateways, controllers, models and endpoints"
	textExplain       = "Show the events about an endpoint, model, lease or note"
	textSettings      = "Work with settings files"
	textCheck         = "Check a settings file of any program"
	textConfig        = "Work with configs of a deployment"
	textCheckConfig   = "Check a config before it is published, and show what it changes"
	textValues        = "Show the effective settings of a program"
	textSnapshot      = "Work with snapshots of the state of a controller"
	textSave          = "Save the state of a controller to a file"
	textShowSnapshot  = "Show a saved snapshot"
	textDiffSnapshots = "Show the changes between two snapshots"
	textReplay        = "Run placement on a saved snapshot and compare the result with the recorded plan"
	textBurn          = "Show the burn rates of the error budgets"
	textPage          = "Write the documentation page of all settings"
)
