package jobs_test

import (
	"testing"

	"ospreybend/internal/node/batch/jobs"
	"ospreybend/internal/testkit/golden"
)

// compatibilityRows returns the documents of the admin API and the stored form of a job's steps.
func compatibilityRows() []golden.Row {
	return []golden.Row{
		golden.FilledJSON[jobs.Counts]("counts.json"),
		golden.FilledJSON[jobs.Tenant]("tenant.json"),
		golden.FilledJSON[[]jobs.Step]("steps.json"),
	}
}

func TestDocuments_asVersion8782861(t *testing.T) { golden.Check(t, compatibilityRows()) }
