package controlplanesim

import (
	"sync"
	"time"

	"ospreybend/coord/seglog"
	"ospreybend/coord/seglog/seglogtest"
	"ospreybend/internal/testkit/controlplanesim/schedule"
	"ospreybend/internal/testkit/controlplanesim/simnet"
)

// Times that a disk takes.
const (
	syncTime   = 400 * time.Microsecond
	slowFactor = 100
)

// machineDisk is the disk of a machine, whatever process uses it.
type machineDisk struct {
	mutex    sync.Mutex // held while an operation is executed, never while one waits
	content  *seglogtest.MemoryDisk
	fault    schedule.Variant // empty: none
	repaired chan struct{}    // closed when the fault is over
}

func newMachineDisk() *machineDisk { return &machineDisk{content: seglogtest.NewMemoryDisk()} }

// injectFault makes the disk faulty until repair is called.
func (d *machineDisk) injectFault(fault schedule.Variant) (repair func()) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	over := make(chan struct{})
	d.fault, d.repaired = fault, over
	if fault == schedule.DiskFull {
		d.content.FreeBytes = 0
	}
	return func() {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		close(over)
		if d.repaired == over {
			d.fault, d.repaired = "", nil
			d.content.FreeBytes = seglogtest.Unlimited
		}
	}
}

// wipe empties the disk; what processes had open is dead.
func (d *machineDisk) wipe() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.content.Restart()
	d.content = seglogtest.NewMemoryDisk()
	d.reapplyFault()
}

// losePower leaves what was synced and, by the seed's draws, parts of the rest.
func (d *machineDisk) losePower(seed uint64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.content.LosePower(seglogtest.NewRandom(seed))
	d.reapplyFault()
}

// kill leaves the disk as the process left it.
func (d *machineDisk) kill() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.content.Restart()
	d.reapplyFault()
}

// reapplyFault restores the fault, which a restart of the content has cleared.
func (d *machineDisk) reapplyFault() {
	if d.fault == schedule.DiskFull {
		d.content.FreeBytes = 0
	}
}

// processDisk is a machine's disk as one process uses it: it fails once the process is dead, and waits while the process is frozen.
type processDisk struct {
	disk    *machineDisk
	process *simnet.Process
	syncs   func() // called when a sync begins
}

var _ seglog.FileSystem = processDisk{}

// operate executes an operation that takes the given time.
func (d processDisk) operate(takes time.Duration, operation func(content *seglogtest.MemoryDisk) error) error {
	if !d.await(takes) {
		return seglogtest.ErrPowerLost
	}
	d.disk.mutex.Lock()
	defer d.disk.mutex.Unlock()
	if d.process.Dead() {
		return seglogtest.ErrPowerLost
	}
	return operation(d.disk.content)
}

// await waits until the operation is done. It is false if the process ends before.
func (d processDisk) await(takes time.Duration) bool {
	d.disk.mutex.Lock()
	fault, over := d.disk.fault, d.disk.repaired
	d.disk.mutex.Unlock()
	switch fault {
	case schedule.DiskHang:
		select {
		case <-over:
		case <-d.process.Ended():
		}
	case schedule.DiskSlow:
		takes = slowFactor * max(takes, syncTime)
	}
	if takes > 0 {
		time.Sleep(takes)
	}
	return d.process.AwaitRunning()
}

func (d processDisk) MakeDirectory(directory string) error {
	return d.operate(0, func(content *seglogtest.MemoryDisk) error { return content.MakeDirectory(directory) })
}

func (d processDisk) Create(path string) (seglog.File, error) {
	return d.open(func(content *seglogtest.MemoryDisk) (seglog.File, error) { return content.Create(path) })
}

func (d processDisk) OpenAppend(path string) (seglog.File, error) {
	return d.open(func(content *seglogtest.MemoryDisk) (seglog.File, error) { return content.OpenAppend(path) })
}

func (d processDisk) open(open func(content *seglogtest.MemoryDisk) (seglog.File, error)) (seglog.File, error) {
	var opened seglog.File
	err := d.operate(0, func(content *seglogtest.MemoryDisk) (err error) {
		opened, err = open(content)
		return err
	})
	if err != nil {
		return nil, err
	}
	return processFile{disk: d, file: opened}, nil
}

func (d processDisk) ReadFile(path string) (data []byte, err error) {
	err = d.operate(0, func(content *seglogtest.MemoryDisk) (err error) {
		data, err = content.ReadFile(path)
		return err
	})
	return data, err
}

func (d processDisk) Rename(from, to string) error {
	return d.operate(0, func(content *seglogtest.MemoryDisk) error { return content.Rename(from, to) })
}

func (d processDisk) Remove(path string) error {
	return d.operate(0, func(content *seglogtest.MemoryDisk) error { return content.Remove(path) })
}

func (d processDisk) List(directory string) (files []seglog.FileInfo, err error) {
	err = d.operate(0, func(content *seglogtest.MemoryDisk) (err error) {
		files, err = content.List(directory)
		return err
	})
	return files, err
}

func (d processDisk) SyncDirectory(directory string) error {
	d.syncs()
	return d.operate(syncTime, func(content *seglogtest.MemoryDisk) error { return content.SyncDirectory(directory) })
}

// processFile is an open file of a process.
type processFile struct {
	disk processDisk
	file seglog.File
}

func (f processFile) Write(data []byte) (count int, err error) {
	err = f.disk.operate(0, func(*seglogtest.MemoryDisk) (err error) {
		count, err = f.file.Write(data)
		return err
	})
	return count, err
}

func (f processFile) Truncate(size int64) error {
	return f.disk.operate(0, func(*seglogtest.MemoryDisk) error { return f.file.Truncate(size) })
}

func (f processFile) Sync() error {
	f.disk.syncs()
	return f.disk.operate(syncTime, func(*seglogtest.MemoryDisk) error { return f.file.Sync() })
}

func (f processFile) Close() error { return f.file.Close() }
