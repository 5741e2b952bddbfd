package dispatch

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"ospreybend/internal/dataplane/selection"
)

// trace holds the values of a request's debug log entry: its last choice and run, and its discarded responses.
type trace struct {
	choice          selection.Choice
	prefillTime     time.Duration // of the last prefill
	runSentAt       time.Duration // of the last run; 0 if none
	firstEventAt    time.Duration // arrival of its first event or complete response; 0 if none
	reportedRunning int           // load reported by the last run's worker
	reportedWaiting int
	loadReported    bool
	discarded       []DiscardReason // of each worker response that did not reach the client
}

// recordLoad records the load reported by the worker of a run.
func (t *trace) recordLoad(response *Response) {
	if response.Load != nil {
		t.reportedRunning, t.reportedWaiting, t.loadReported = response.Load.Running, response.Load.Waiting, true
	}
}

// recordRun records that a run is being sent, and resets the first event of an earlier run.
func (t *trace) recordRun(now time.Duration) {
	t.runSentAt, t.firstEventAt = now, 0
}

// recordFirstEvent records that the first event of a run has arrived.
func (t *trace) recordFirstEvent(now time.Duration) {
	if t.firstEventAt == 0 {
		t.firstEventAt = now
	}
}

// logResult writes the debug log entry of a finished request.
func (r *clientRequest) logResult() {
	entry := r.dispatcher.log.Check(zapcore.DebugLevel, "request finished")
	if entry == nil {
		return
	}
	fields := []zap.Field{
		zap.String("requestId", r.request.Header.Get(fieldRequestID)),
		zap.String("route", r.route.Name),
		zap.Int("status", r.status),
		zap.Int("runs", r.runs),
		zap.Int("promptTokens", r.criteria.PromptTokens),
		zap.Duration("duration", r.dispatcher.now()-r.criteria.Arrived),
	}
	if r.trace.choice.Prefill != nil {
		fields = append(fields,
			zap.String("prefillWorker", r.trace.choice.Prefill.ID),
			zap.Duration("prefillTime", r.trace.prefillTime))
	}
	if r.trace.choice.Run != nil {
		fields = append(fields,
			zap.String("runWorker", r.trace.choice.Run.ID),
			zap.Duration("predictedFirstEvent", r.trace.choice.TimeToFirstEvent))
	}
	if r.trace.firstEventAt > 0 {
		fields = append(fields,
			zap.Duration("firstEvent", r.trace.firstEventAt-r.trace.runSentAt),
			zap.Int("workerRunning", r.trace.reportedRunning),
			zap.Int("workerWaiting", r.trace.reportedWaiting),
			zap.Bool("loadReported", r.trace.loadReported))
	}
	if len(r.trace.discarded) > 0 {
		fields = append(fields, zap.Stringers("discarded", r.trace.discarded))
	}
	entry.Write(fields...)
}
