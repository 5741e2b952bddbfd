package drmaa_test

import (
	"testing"

	"ospreybend/drmaa"
	"ospreybend/internal/testkit/golden"
)

// compatibilityRows are the documents of the batch API.
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

func TestDocuments_asVersion8782861(t *testing.T) { golden.Check(t, compatibilityRows()) }
