package campaign

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"
)

// Names of checks that the campaign itself adds.
const (
	CheckDied    = "died"    // the process ended during the schedule
	CheckTimeout = "endless" // the schedule did not end within the limit
)

var (
	// ErrPlayedNothing is returned when the simulation's process ends without starting a schedule.
	ErrPlayedNothing = errors.New("the simulation played nothing")
	// ErrTerminated is returned when a simulation process was terminated by a signal from outside, usually together with the
	// campaign itself.
	ErrTerminated = errors.New("a simulation process was terminated")
)

const (
	maxLineBytes      = 4 << 20
	maxRetainedOutput = 40               // lines of output kept for the report
	outputTimeout     = 10 * time.Second // to read the output of a process after SIGQUIT
)

// Player plays requests with the simulation's test binary.
type Player struct {
	Binary string
	Limit  time.Duration // real time allowed for one schedule
}

// outcome is the result of one process.
type outcome struct {
	unfinished *Line // the schedule during which the process ended; nil if none
	output     []string
	timedOut   bool
}

// Play plays the request and calls ended with a line for each schedule that has ended. A schedule during which the process
// dies gets a finding, and another process continues with the rest of the request.
func (p Player) Play(ctx context.Context, request Request, ended func(Line)) error {
	for {
		played := 0
		outcome, err := p.run(ctx, request, func(line Line) { played++; ended(line) })
		if err != nil || ctx.Err() != nil {
			return firstError(ctx.Err(), err)
		}
		if outcome.unfinished != nil {
			ended(outcome.finding())
			played++
		}
		if played >= request.Count {
			return nil
		}
		if played == 0 {
			return fmt.Errorf("%w:\n%s", ErrPlayedNothing, strings.Join(outcome.output, "\n"))
		}
		request.FirstSeed += uint64(played)
		request.Count -= played
	}
}

func firstError(all ...error) error {
	for _, err := range all {
		if err != nil {
			return err
		}
	}
	return nil
}

// finding returns the line for the schedule during which the process ended.
func (o outcome) finding() Line {
	line := Line{Seed: o.unfinished.Seed}
	check := CheckDied
	if o.timedOut {
		check = CheckTimeout
	}
	line.Violations = []Finding{{Check: check, Text: strings.Join(o.output, "\n")}}
	return line
}

// run starts one process for the request and reads its output until it ends.
func (p Player) run(ctx context.Context, request Request, ended func(Line)) (outcome, error) {
	text, err := json.Marshal(request)
	if err != nil {
		return outcome{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	command := exec.CommandContext(ctx, p.Binary, "-test.run=^"+TestName+"$", "-test.timeout=0")
	command.Env = append(os.Environ(), RequestVariable+"="+string(text), "GOMAXPROCS=1")
	command.Cancel = func() error { return command.Process.Signal(syscall.SIGQUIT) } // makes the Go runtime print all goroutines
	command.WaitDelay = outputTimeout
	output, err := command.StdoutPipe()
	if err != nil {
		return outcome{}, err
	}
	command.Stderr = command.Stdout
	if err := command.Start(); err != nil {
		return outcome{}, err
	}
	result := p.follow(output, cancel, ended)
	failure := command.Wait()
	if terminated(failure) {
		return outcome{}, ErrTerminated
	}
	if failure == nil && result.unfinished != nil {
		failure = fmt.Errorf("the process exited with status 0 during the schedule of seed %d", result.unfinished.Seed)
	}
	if failure != nil {
		result.output = append(result.output, failure.Error())
	}
	return result, nil
}

// terminated reports whether a process was ended by SIGTERM or SIGINT, with which users and supervisors stop programs.
func terminated(failure error) bool {
	var exit *exec.ExitError
	if !errors.As(failure, &exit) {
		return false
	}
	status, known := exit.Sys().(syscall.WaitStatus)
	return known && status.Signaled() && (status.Signal() == syscall.SIGTERM || status.Signal() == syscall.SIGINT)
}

// follow reads a process's output. It calls end when a schedule takes longer than the limit.
func (p Player) follow(output io.Reader, end func(), ended func(Line)) outcome {
	var result outcome
	overdue := make(chan struct{})
	alarm := time.AfterFunc(p.Limit, func() { close(overdue); end() })
	defer alarm.Stop()
	lines := bufio.NewScanner(output)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		line, isResult := parseLine(lines.Text())
		switch {
		case !isResult:
			result.retain(lines.Text())
		case line.Begins:
			alarm.Reset(p.Limit)
			result.unfinished, result.output = &line, nil
		default:
			result.unfinished = nil
			ended(line)
		}
	}
	select {
	case <-overdue:
		result.timedOut = true
	default:
	}
	return result
}

// retain keeps the first lines of output, which contain the reason why a process died, and drops the rest.
func (o *outcome) retain(line string) {
	if len(o.output) < maxRetainedOutput {
		o.output = append(o.output, line)
	}
}
