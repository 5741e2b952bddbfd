package dispatch

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"ospreybend/internal/dataplane/selection"
)

// trace is what the log tells of a request's last way through the workers.
type trace struct {
	choice    selection.Choice
	read      time.Duration // that the last call to read the prompt took
	sent      time.Duration // when the last run was sent; 0: none
	first     time.Duration // when its first event, or its whole answer, had come; 0: none
	running   int           // load that the last answer's head told
	waiting   int
	toldOfRun bool // that answer was the run's
}

// noteLoad takes in the load of an answer's head.
func (t *trace) noteLoad(answer *Answer, ofRun bool) {
	if answer.Load != nil {
		t.running, t.waiting, t.toldOfRun = answer.Load.Running, answer.Load.Waiting, ofRun
	}
}

// noteFirst takes in that the first event of a run has come.
func (t *trace) noteFirst(now time.Duration) {
	if t.first == 0 {
		t.first = now
	}
}

func (t *try) logEnd() {
	entry := t.d.log.Check(zapcore.DebugLevel, "request")
	if entry == nil {
		return
	}
	fields := []zap.Field{
		zap.String("id", t.request.Header.Get(fieldRequestID)),
		zap.String("route", t.route.Name),
		zap.Int("status", t.status),
		zap.Int("runs", t.runs),
		zap.Int("prompt", t.ask.PromptTokens),
		zap.Duration("took", t.d.now()-t.ask.Arrived),
	}
	if t.trace.choice.Prefill != nil {
		fields = append(fields, zap.String("prefill", t.trace.choice.Prefill.ID), zap.Duration("read", t.trace.read))
	}
	if t.trace.choice.Run != nil {
		fields = append(fields, zap.String("run", t.trace.choice.Run.ID), zap.Duration("predicted", t.trace.choice.TimeToFirstEvent))
	}
	if t.trace.first > 0 {
		fields = append(fields, zap.Duration("first", t.trace.first-t.trace.sent),
			zap.Int("running", t.trace.running), zap.Int("waiting", t.trace.waiting), zap.Bool("run's load", t.trace.toldOfRun))
	}
	entry.Write(fields...)
}
