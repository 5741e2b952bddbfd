package dispatch

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"ospreybend/internal/dataplane/selection"
)

// trace is what the log tells of a request's last way through the workers.
type trace struct {
	choice          selection.Choice
	prefillTime     time.Duration // that the last call to read the prompt took
	runSentAt       time.Duration // when the last run was sent; 0: none
	firstEventAt    time.Duration // when its first event, or its whole answer, had come; 0: none
	reportedRunning int           // load that the last answer's head told
	reportedWaiting int
	reportedByRun   bool // that answer was the run's
}

// recordLoad takes in the load of an answer's head.
func (t *trace) recordLoad(answer *Answer, ofRun bool) {
	if answer.Load != nil {
		t.reportedRunning, t.reportedWaiting, t.reportedByRun = answer.Load.Running, answer.Load.Waiting, ofRun
	}
}

// recordFirstEvent takes in that the first event of a run has come.
func (t *trace) recordFirstEvent(now time.Duration) {
	if t.firstEventAt == 0 {
		t.firstEventAt = now
	}
}

func (r *clientRequest) logResult() {
	entry := r.dispatcher.log.Check(zapcore.DebugLevel, "request")
	if entry == nil {
		return
	}
	fields := []zap.Field{
		zap.String("id", r.request.Header.Get(fieldRequestID)),
		zap.String("route", r.route.Name),
		zap.Int("status", r.status),
		zap.Int("runs", r.runs),
		zap.Int("prompt", r.criteria.PromptTokens),
		zap.Duration("took", r.dispatcher.now()-r.criteria.Arrived),
	}
	if r.trace.choice.Prefill != nil {
		fields = append(fields, zap.String("prefill", r.trace.choice.Prefill.ID), zap.Duration("read", r.trace.prefillTime))
	}
	if r.trace.choice.Run != nil {
		fields = append(fields, zap.String("run", r.trace.choice.Run.ID), zap.Duration("predicted", r.trace.choice.TimeToFirstEvent))
	}
	if r.trace.firstEventAt > 0 {
		fields = append(fields, zap.Duration("first", r.trace.firstEventAt-r.trace.runSentAt),
			zap.Int("running", r.trace.reportedRunning), zap.Int("waiting", r.trace.reportedWaiting), zap.Bool("run's load", r.trace.reportedByRun))
	}
	entry.Write(fields...)
}
