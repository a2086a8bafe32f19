// Package logwriter writes log lines without ever making their author wait.
//
// Lines go through a queue of fixed length to a task that writes them, all that
// have come within a short time in one piece. A line that finds the queue full, or
// comes beyond the number allowed for the second, is dropped and counted; the count
// is written as a line of its own once there is room again.
//
// # Usage
//
//	w := logwriter.New(os.Stdout, 200)
//	defer w.Close()
//	log := hclog.New(&hclog.LoggerOptions{Output: w, JSONFormat: true})
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
	// queueLines is the length of the queue: a second's lines and a burst.
	queueLines = 1024
	// batchTime is how long a line waits for others, to save system calls. A
	// process that is killed loses no more than the lines of this time.
	batchTime = 20 * time.Millisecond
	// closeTimeout bounds the writing of what is left at the end.
	closeTimeout = 200 * time.Millisecond
)

// Writer is an io.Writer of which each Write is one line. It is safe for
// concurrent use.
type Writer struct {
	out       io.Writer
	perSecond int
	queue     chan []byte
	tomb      tomb.Tomb

	mu sync.Mutex
	// second is the second that allowed counts down in.
	second  int64
	allowed int
	dropped int
	total   int64
}

// New returns a Writer to out of at most perSecond lines a second.
func New(out io.Writer, perSecond int) *Writer {
	w := &Writer{out: out, perSecond: perSecond, queue: make(chan []byte, queueLines)}
	w.tomb.Go(func() error {
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for {
			select {
			case line := <-w.queue:
				w.pause()
				w.write(line)
			case now := <-ticker.C:
				w.report(now)
			case <-w.tomb.Dying():
				w.write(nil)
				w.report(time.Now())
				return nil
			}
		}
	})
	return w
}

// Write queues a line, and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.add(time.Now(), line)
	return len(line), nil
}

// add queues a line that was written at now, or drops it.
func (w *Writer) add(now time.Time, line []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Unix() != w.second {
		w.second, w.allowed = now.Unix(), w.perSecond
	}
	if w.allowed == 0 {
		w.dropped++
		return
	}
	select {
	case w.queue <- bytes.Clone(line):
		w.allowed--
	default:
		w.dropped++
	}
}

// report writes how many lines were dropped since the last report.
func (w *Writer) report(now time.Time) {
	w.mu.Lock()
	dropped := w.dropped
	w.dropped = 0
	w.total += int64(dropped)
	w.mu.Unlock()
	if dropped > 0 {
		_, _ = fmt.Fprintf(w.out, `{"@level":"warn","@message":"log lines dropped","@timestamp":%q,"lines":%d}`+"\n",
			now.UTC().Format("2006-01-02T15:04:05.000000Z"), dropped)
	}
}

// Dropped returns how many lines were dropped.
func (w *Writer) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.total + int64(w.dropped)
}

// pause waits for batchTime, or until the end.
func (w *Writer) pause() {
	select {
	case <-time.After(batchTime):
	case <-w.tomb.Dying():
	}
}

// write writes first and what is queued in one piece.
func (w *Writer) write(first []byte) {
	batch := first
	for {
		select {
		case line := <-w.queue:
			batch = append(batch, line...)
		default:
			if len(batch) > 0 {
				_, _ = w.out.Write(batch)
			}
			return
		}
	}
}

// Close writes what is left, unless that takes too long, and ends the task.
func (w *Writer) Close() {
	w.tomb.Kill(nil)
	select {
	case <-w.tomb.Dead():
	case <-time.After(closeTimeout):
	}
}
