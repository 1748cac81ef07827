// Package targets keeps the targets of a subscriber's view by service, with the reports and
// start times that routing tables are built from. A new view costs what changed in it.
package targets
