package jobs_test

import (
	"testing"

	"ospreybend/internal/node/batch/jobs"
	"ospreybend/internal/testkit/golden"
)

// compatibilityRows are the documents of the administration's API, and the steps of a job as they are stored.
func compatibilityRows() []golden.Row {
	return []golden.Row{
		golden.FilledJSON[jobs.Counts]("counts.json"),
		golden.FilledJSON[jobs.Tenant]("tenant.json"),
		golden.FilledJSON[[]jobs.Step]("steps.json"),
	}
}

func TestDocuments_asVersion8782861(t *testing.T) { golden.Check(t, compatibilityRows()) }
