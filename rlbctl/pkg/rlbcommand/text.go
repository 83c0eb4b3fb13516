package rlbcommand

// The texts of the commands' help.
const (
	textRoot          = "Publishes release notes and shows what rhubarblb does"
	textNote          = "Work with release notes"
	textValidate      = "Check a release note against the version in force, without publishing it"
	textDiff          = "Show what a release note would change"
	textPublish       = "Publish a release note"
	textShow          = "Show the release in force"
	textHistory       = "Show the accepted notes, newest first"
	textStatus        = "Show instances, models and endpoints"
	textExplain       = "Show the decisions about an endpoint, model, lease or note"
	textSettings      = "Work with settings files"
	textCheck         = "Check a settings file of any program"
	textValues        = "Show every setting of a program with the values in force"
	textSnapshot      = "Keep what a controller knows in a file"
	textSave          = "Save what a controller knows"
	textShowSnapshot  = "Show a saved snapshot"
	textDiffSnapshots = "Show what changed between two snapshots"
	textReplay        = "Run the placement on a saved snapshot and compare with what it recorded"
	textBurn          = "Show how fast service-level budgets burn"
	textPage          = "Write the documentation page of all settings"
)
