// Command simhost runs instances of the decision module for the simulator. It speaks the protocol of package simwire:
// batches of events on standard input, replies on standard output.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"ospreybend/balance"
	"ospreybend/internal/node/simwire"
)

const bufferSize = 1 << 20

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// serve processes batches and writes one reply to each until the input ends.
func serve(in io.Reader, out io.Writer) error {
	r, w := bufio.NewReaderSize(in, bufferSize), bufio.NewWriterSize(out, bufferSize)
	instances := map[uint32]*balance.Balancer{}
	var reply simwire.Reply
	for {
		batch, err := simwire.ReadBatch(r)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		reply.Begin(batch.Number)
		for i, rec := range batch.Records {
			if err := handle(instances, batch, rec, &reply); err != nil {
				return fmt.Errorf("batch %d, record %d, instance %d: %w", batch.Number, i, rec.Instance, err)
			}
		}
		if _, err := w.Write(reply.Bytes()); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// handle passes one record's event to its instance and adds the resulting actions to the reply.
func handle(instances map[uint32]*balance.Balancer, batch simwire.Batch, rec simwire.Record, reply *simwire.Reply) error {
	switch ev := rec.Event.(type) {
	case simwire.Attach:
		settings, err := simwire.ParseSettings(ev.Options)
		if err != nil {
			return err
		}
		b, err := balance.New(settings, ev.Seed)
		if err != nil {
			return err
		}
		instances[rec.Instance] = b
	case simwire.Shutdown:
		delete(instances, rec.Instance)
	case balance.Event:
		b := instances[rec.Instance]
		if b == nil {
			return fmt.Errorf("event %T for an instance that is not attached", ev)
		}
		for _, a := range b.Handle(batch.Now, ev) {
			if err := reply.Add(rec.Instance, a); err != nil {
				return err
			}
		}
	}
	return nil
}
