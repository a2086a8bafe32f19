// Package logwriter writes log lines without blocking the goroutines that log.
//
// Write puts each line into a queue of fixed length. A background goroutine
// takes the lines from the queue and writes those that arrive within a short
// time in one call, to save system calls. A line is dropped and counted if the
// queue is full or if the limit of lines per second is reached. The number of
// dropped lines is written as a log line of its own, at most once a second,
// when the output accepts data again. Lines that are logged for each request go through
// Bulk, so that they never take the whole limit.
//
// # Usage
//
//	w := logwriter.New(os.Stdout, 200)
//	defer w.Close()
//	log := hclog.New(&hclog.LoggerOptions{Output: w, JSONFormat: true})
//	requestLog := hclog.New(&hclog.LoggerOptions{Output: w.Bulk(), JSONFormat: true})
package logwriter

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"

	"gopkg.in/tomb.v2"
)

const (
	// queueLines is the capacity of the queue. It holds the lines of one second
	// and a burst.
	queueLines = 1024
	// maxBatchLines bounds the lines that are taken from the queue for one write. If
	// the output is blocked, these lines are not counted as dropped.
	maxBatchLines = 256
	// reservedFraction is the fraction of the limit of lines, and of the queue, that
	// lines written through Bulk leave to the others.
	reservedFraction = 0.25
	// batchDelay is how long the first line of a batch waits for further lines,
	// to save system calls. A process that is killed loses at most the lines of
	// this period.
	batchDelay = 20 * time.Millisecond
	// closeTimeout limits how long Close waits for the queued lines to be
	// written.
	closeTimeout = 200 * time.Millisecond
)

// Writer is an io.Writer that treats the data of each Write call as one line. It is
// safe for concurrent use.
type Writer struct {
	out       io.Writer
	perSecond int
	queue     chan []byte
	tomb      tomb.Tomb

	mu sync.Mutex
	// currentSecond is the Unix time, in seconds, to which remaining refers.
	currentSecond int64
	// remaining is the number of lines that may still be queued in
	// currentSecond.
	remaining int
	// dropped counts the lines dropped since the last report, and reported those
	// dropped before it.
	dropped  int
	reported int64
}

// New returns a Writer that writes at most perSecond lines per second to out.
func New(out io.Writer, perSecond int) *Writer {
	w := &Writer{out: out, perSecond: perSecond, queue: make(chan []byte, queueLines)}
	w.tomb.Go(func() error {
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for {
			select {
			case line := <-w.queue:
				w.waitForBatch()
				w.writeBatch(line)
			case now := <-ticker.C:
				w.reportDropped(now)
			case <-w.tomb.Dying():
				for w.writeBatch(nil) {
				}
				w.reportDropped(time.Now())
				return nil
			}
		}
	})
	return w
}

// Write queues a copy of line or drops it. It never blocks and the error is always
// nil.
func (w *Writer) Write(line []byte) (int, error) {
	w.enqueue(time.Now(), line, 0)
	return len(line), nil
}

// Bulk returns a writer of lines that leave reservedFraction of the limits to those
// written with Write.
func (w *Writer) Bulk() io.Writer { return bulkWriter{w} }

// bulkWriter is the result of Writer.Bulk.
type bulkWriter struct{ w *Writer }

// Write implements io.Writer. It never blocks and the error is always nil.
func (b bulkWriter) Write(line []byte) (int, error) {
	b.w.enqueue(time.Now(), line, reservedFraction)
	return len(line), nil
}

// enqueue queues a copy of a line that was logged at now. It drops the line if no more
// than the fraction reserved of the queue or of the limit for the current second is left.
func (w *Writer) enqueue(now time.Time, line []byte, reserved float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Unix() != w.currentSecond {
		w.currentSecond, w.remaining = now.Unix(), w.perSecond
	}
	free := cap(w.queue) - len(w.queue)
	if w.remaining <= int(reserved*float64(w.perSecond)) || free <= int(reserved*float64(cap(w.queue))) {
		w.dropped++
		return
	}
	select {
	case w.queue <- bytes.Clone(line):
		w.remaining--
	default:
		w.dropped++
	}
}

// reportDropped writes a log line with the number of lines dropped since the last
// report, if there are any.
func (w *Writer) reportDropped(now time.Time) {
	w.mu.Lock()
	dropped := w.dropped
	w.dropped = 0
	w.reported += int64(dropped)
	w.mu.Unlock()
	if dropped > 0 {
		_, _ = fmt.Fprintf(w.out, `{"@level":"warn","@message":"log lines dropped","@timestamp":%q,"lines":%d}`+"\n",
			now.UTC().Format("2006-01-02T15:04:05.000000Z"), dropped)
	}
}

// Dropped returns the number of lines dropped since the Writer was created.
func (w *Writer) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reported + int64(w.dropped)
}

// waitForBatch waits for batchDelay, or until Close is called.
func (w *Writer) waitForBatch() {
	select {
	case <-time.After(batchDelay):
	case <-w.tomb.Dying():
	}
}

// writeBatch writes first, which may be nil, and queued lines in one call, and
// reports whether lines are left in the queue.
func (w *Writer) writeBatch(first []byte) bool {
	batch := first
	// Only this goroutine takes lines from the queue, so that it does not wait here.
	lines := min(len(w.queue), maxBatchLines-min(len(first), 1))
	for range lines {
		batch = append(batch, <-w.queue...)
	}
	if len(batch) > 0 {
		_, _ = w.out.Write(batch)
	}
	return len(w.queue) > 0
}

// Close writes the queued lines and stops the background goroutine. It waits for at
// most closeTimeout; lines that are not written by then may be lost.
func (w *Writer) Close() {
	w.tomb.Kill(nil)
	select {
	case <-w.tomb.Dead():
	case <-time.After(closeTimeout):
	}
}
