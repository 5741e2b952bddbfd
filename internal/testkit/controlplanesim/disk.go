package controlplanesim

import (
	"sync"
	"time"

	"ospreybend/coord/seglog"
	"ospreybend/coord/seglog/seglogtest"
	"ospreybend/internal/testkit/controlplanesim/schedule"
	"ospreybend/internal/testkit/controlplanesim/simnet"
)

// Duration of disk operations.
const (
	syncLatency    = 400 * time.Microsecond
	slowDiskFactor = 100
)

// machineDisk is the disk of a machine, independent of the process that uses it.
type machineDisk struct {
	mutex    sync.Mutex // held during an operation, but not while it waits
	content  *seglogtest.MemoryDisk
	fault    schedule.Variant // empty: none
	repaired chan struct{}    // closed when the fault ends
}

func newMachineDisk() *machineDisk { return &machineDisk{content: seglogtest.NewMemoryDisk()} }

// injectFault applies a fault to the disk until repair is called.
func (d *machineDisk) injectFault(fault schedule.Variant) (repair func()) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	repaired := make(chan struct{})
	d.fault, d.repaired = fault, repaired
	if fault == schedule.DiskFull {
		d.content.FreeBytes = 0
	}
	return func() {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		close(repaired)
		if d.repaired == repaired {
			d.fault, d.repaired = "", nil
			d.content.FreeBytes = seglogtest.Unlimited
		}
	}
}

// wipe replaces the content with an empty disk; files that were open fail from then on.
func (d *machineDisk) wipe() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.content.Restart()
	d.content = seglogtest.NewMemoryDisk()
	d.reapplyFault()
}

// losePower keeps synced data and a part of the unsynced data, chosen at random from the seed.
func (d *machineDisk) losePower(seed uint64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.content.LosePower(seglogtest.NewRandom(seed))
	d.reapplyFault()
}

// kill keeps all data that the process has written, and invalidates its open files.
func (d *machineDisk) kill() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.content.Restart()
	d.reapplyFault()
}

// reapplyFault restores a fault that was cleared when the content was restarted or replaced.
func (d *machineDisk) reapplyFault() {
	if d.fault == schedule.DiskFull {
		d.content.FreeBytes = 0
	}
}

// processDisk is one process's access to a machine's disk. Operations fail once the process is dead, and block while it is
// frozen.
type processDisk struct {
	disk    *machineDisk
	process *simnet.Process
	onSync  func() // called when a sync begins
}

var _ seglog.FileSystem = processDisk{}

// operate executes an operation of the given duration.
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

// await waits for the operation's duration, including any delay from a disk fault. It returns false if the process ends first.
func (d processDisk) await(takes time.Duration) bool {
	d.disk.mutex.Lock()
	fault, repaired := d.disk.fault, d.disk.repaired
	d.disk.mutex.Unlock()
	switch fault {
	case schedule.DiskHang:
		select {
		case <-repaired:
		case <-d.process.Ended():
		}
	case schedule.DiskSlow:
		takes = slowDiskFactor * max(takes, syncLatency)
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
	d.onSync()
	return d.operate(syncLatency, func(content *seglogtest.MemoryDisk) error { return content.SyncDirectory(directory) })
}

// processFile is a file that a process has opened.
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
	f.disk.onSync()
	return f.disk.operate(syncLatency, func(*seglogtest.MemoryDisk) error { return f.file.Sync() })
}

func (f processFile) Close() error { return f.file.Close() }
