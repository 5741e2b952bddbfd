package scalereport

import (
	"errors"
	"strconv"
	"strings"
	"time"
)

// ErrProcessFile is returned for a /proc/PID/stat file in an unexpected format.
var ErrProcessFile = errors.New("scale: /proc/PID/stat has an unexpected format")

// Counters holds the resource counters of a process since its start.
type Counters struct {
	Processor time.Duration // CPU time in user and system mode
	Resident  int64         // resident bytes now
	Peak      int64         // highest resident bytes so far
	Read      int64         // bytes returned by read calls on sockets and files
	Written   int64         // bytes passed to write calls
	Reads     int64         // read calls
	Writes    int64         // write calls
	Switches  int64         // voluntary context switches of its threads
}

const (
	ticksPerSecond = 100 // unit of the times in /proc/PID/stat
	nameEnd        = ") "
	fieldUser      = 11 // utime in /proc/PID/stat, counted from the state field after the name
	fieldSystem    = 12 // stime
	kilobyte       = 1024
	decimalBase    = 10
	int64Bits      = 64
)

// ProcessorTime parses the CPU time from the content of /proc/PID/stat.
func ProcessorTime(stat string) (time.Duration, error) {
	end := strings.LastIndex(stat, nameEnd) // the name may contain any characters
	if end < 0 {
		return 0, ErrProcessFile
	}
	fields := strings.Fields(stat[end+len(nameEnd):])
	if len(fields) <= fieldSystem {
		return 0, ErrProcessFile
	}
	user, errUser := strconv.ParseInt(fields[fieldUser], decimalBase, int64Bits)
	system, errSystem := strconv.ParseInt(fields[fieldSystem], decimalBase, int64Bits)
	if errUser != nil || errSystem != nil {
		return 0, ErrProcessFile
	}
	return time.Duration(user+system) * time.Second / ticksPerSecond, nil
}

// ParseNamedNumbers parses "NAME: NUMBER [kB]" lines as in /proc/PID/status and /proc/PID/io. Numbers in kB are returned in bytes;
// lines without a number are skipped.
func ParseNamedNumbers(text string) map[string]int64 {
	values := map[string]int64{}
	for line := range strings.Lines(text) {
		name, rest, found := strings.Cut(line, ":")
		fields := strings.Fields(rest)
		if !found || len(fields) == 0 {
			continue
		}
		value, err := strconv.ParseInt(fields[0], decimalBase, int64Bits)
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

// Usage is the resource usage of a process over an interval.
type Usage struct {
	Processor float64 `json:"processorPercent"` // CPU time in percent of one core
	MemoryMB  float64 `json:"memoryMB"`         // resident memory at the end
	PeakMB    float64 `json:"peakMB"`           // highest resident memory since the process started
	ReadKB    float64 `json:"readKBs"`          // kB/s by read calls; datagrams are not included
	WrittenKB float64 `json:"writtenKBs"`       // kB/s by write calls
	Reads     float64 `json:"reads"`            // read calls per second
	Writes    float64 `json:"writes"`           // write calls per second
	Switches  float64 `json:"switches"`         // voluntary context switches per second
}

const (
	percent  = 100
	megabyte = 1e6
	thousand = 1e3
)

// UsageBetween returns the usage between two readings of the counters, taken span apart.
func UsageBetween(before, after Counters, span time.Duration) Usage {
	seconds := span.Seconds()
	return Usage{
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
