package scalerun

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"ospreybend/internal/testkit/scalereport"
)

// readCounters reads the resource counters of a process from /proc.
func readCounters(pid int) (scalereport.Counters, error) {
	directory := filepath.Join("/proc", strconv.Itoa(pid))
	stat, err := os.ReadFile(filepath.Join(directory, "stat"))
	if err != nil {
		return scalereport.Counters{}, eris.Wrap(err, "read process stat")
	}
	processor, err := scalereport.ProcessorTime(string(stat))
	if err != nil {
		return scalereport.Counters{}, err
	}
	status, err := readNamed(filepath.Join(directory, "status"))
	if err != nil {
		return scalereport.Counters{}, err
	}
	calls, err := readNamed(filepath.Join(directory, "io"))
	if err != nil {
		return scalereport.Counters{}, err
	}
	return scalereport.Counters{Processor: processor, Resident: status["VmRSS"], Peak: status["VmHWM"],
		Read: calls["rchar"], Written: calls["wchar"], Reads: calls["syscr"], Writes: calls["syscw"],
		Switches: switches(directory)}, nil
}

// switches returns the number of voluntary context switches of all threads of a process.
func switches(directory string) int64 {
	threads, _ := filepath.Glob(filepath.Join(directory, "task", "*", "status"))
	var sum int64
	for _, path := range threads {
		if named, err := readNamed(path); err == nil {
			sum += named["voluntary_ctxt_switches"]
		}
	}
	return sum
}

// readNamed reads the "NAME: NUMBER" lines of a file below /proc.
func readNamed(path string) (map[string]int64, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read /proc file")
	}
	return scalereport.ParseNamedNumbers(string(text)), nil
}

// machineBounds returns the resources that a run may use on this machine.
func machineBounds() (scalereport.Bounds, error) {
	memory, err := readNamed("/proc/meminfo")
	if err != nil {
		return scalereport.Bounds{}, err
	}
	var files unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &files); err != nil {
		return scalereport.Bounds{}, eris.Wrap(err, "read the limit of file descriptors")
	}
	return scalereport.NewBounds(memory["MemTotal"], int(min(files.Cur, 1<<30))), nil
}

// machineName describes the machine by its number of processors and its memory.
func machineName(processors int) string {
	memory, _ := readNamed("/proc/meminfo")
	return fmt.Sprintf("%d processors, %d MB", processors, memory["MemTotal"]>>20)
}

// LoadAverage returns the machine's load average over the last minute.
func LoadAverage() float64 {
	text, _ := os.ReadFile("/proc/loadavg")
	first, _, _ := strings.Cut(string(text), " ")
	load, _ := strconv.ParseFloat(first, 64)
	return load
}
