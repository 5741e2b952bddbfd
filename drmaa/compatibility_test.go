package drmaa_test

import (
	"testing"

	"ospreybend/drmaa"
	"ospreybend/internal/testkit/golden"
)

// compatibilityRows returns one row for each document type of the batch API.
func compatibilityRows() []golden.Row {
	return []golden.Row{
		golden.FilledJSON[drmaa.JobTemplate]("job-template.json"),
		golden.FilledJSON[drmaa.Bulk]("bulk.json"),
		golden.FilledJSON[drmaa.Error]("error.json"),
		golden.FilledJSON[drmaa.Job]("job.json"),
		golden.FilledJSON[drmaa.Array]("array.json"),
		golden.FilledJSON[drmaa.Page]("page.json"),
		golden.FilledJSON[drmaa.Session]("session.json"),
		golden.FilledJSON[drmaa.Affected]("affected.json"),
		golden.FilledJSON[drmaa.Events]("events.json"),
		golden.FilledJSON[drmaa.Machine]("machine.json"),
		golden.FilledJSON[drmaa.Queue]("queue.json"),
		golden.FilledJSON[drmaa.Manager]("manager.json"),
	}
}

// The JSON documents must stay compatible with those that version 8782861 wrote.
func TestDocuments_asVersion8782861(t *testing.T) { golden.Check(t, compatibilityRows()) }
