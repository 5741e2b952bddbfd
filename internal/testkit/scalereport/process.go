package scalereport

import (
	"errors"
	"strconv"
	"strings"
	"time"
)

// ErrProcessFile is returned for a file of a process that cannot be read as expected.
var ErrProcessFile = errors.New("scale: unexpected form of a process's file")

// Counters are a process's use since its start.
type Counters struct {
	Processor time.Duration // in user and system mode
	Resident  int64         // bytes now
	Peak      int64         // bytes at most so far
	Read      int64         // bytes by read calls, of sockets and files
	Written   int64         // bytes by write calls
	Reads     int64         // calls
	Writes    int64
	Switches  int64 // how often its threads have waited
}

const (
	ticksPerSecond = 100 // of /proc/PID/stat
	afterName      = ") "
	fieldUser      = 11 // of /proc/PID/stat, counted from the state behind the name
	fieldSystem    = 12
	kilobyte       = 1024
	decimal        = 10
	bits           = 64
)

// ProcessorTime reads the processor time out of /proc/PID/stat.
func ProcessorTime(stat string) (time.Duration, error) {
	end := strings.LastIndex(stat, afterName) // a name may contain anything
	if end < 0 {
		return 0, ErrProcessFile
	}
	fields := strings.Fields(stat[end+len(afterName):])
	if len(fields) <= fieldSystem {
		return 0, ErrProcessFile
	}
	user, errUser := strconv.ParseInt(fields[fieldUser], decimal, bits)
	system, errSystem := strconv.ParseInt(fields[fieldSystem], decimal, bits)
	if errUser != nil || errSystem != nil {
		return 0, ErrProcessFile
	}
	return time.Duration(user+system) * time.Second / ticksPerSecond, nil
}

// Named reads "NAME: NUMBER [kB]" lines, as /proc/PID/status and /proc/PID/io have them. Numbers in kB are
// returned in bytes; lines without a number are left out.
func Named(text string) map[string]int64 {
	values := map[string]int64{}
	for line := range strings.Lines(text) {
		name, rest, found := strings.Cut(line, ":")
		fields := strings.Fields(rest)
		if !found || len(fields) == 0 {
			continue
		}
		value, err := strconv.ParseInt(fields[0], decimal, bits)
		if err != nil {
			continue
		}
		if len(fields) > 1 && fields[1] == "kB" {
			value *= kilobyte
		}
		values[name] = value
	}
	return values
}

// Use is a process's use per second over some time.
type Use struct {
	Processor float64 `json:"processorPercent"` // of one core
	MemoryMB  float64 `json:"memoryMB"`         // resident at the end
	PeakMB    float64 `json:"peakMB"`           // resident at most since its start
	ReadKB    float64 `json:"readKBs"`          // kilobytes a second by read calls; datagrams are not among them
	WrittenKB float64 `json:"writtenKBs"`
	Reads     float64 `json:"reads"` // calls a second
	Writes    float64 `json:"writes"`
	Switches  float64 `json:"switches"` // a second
}

const (
	percent  = 100
	megabyte = 1e6
	thousand = 1e3
)

// UseBetween returns the use between two readings.
func UseBetween(before, after Counters, span time.Duration) Use {
	seconds := span.Seconds()
	return Use{
		Processor: percent * (after.Processor - before.Processor).Seconds() / seconds,
		MemoryMB:  float64(after.Resident) / megabyte,
		PeakMB:    float64(after.Peak) / megabyte,
		ReadKB:    float64(after.Read-before.Read) / thousand / seconds,
		WrittenKB: float64(after.Written-before.Written) / thousand / seconds,
		Reads:     float64(after.Reads-before.Reads) / seconds,
		Writes:    float64(after.Writes-before.Writes) / seconds,
		Switches:  float64(after.Switches-before.Switches) / seconds,
	}
}
