package attempt

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// maxBufferedResponse bounds a response that is read completely before it is relayed.
const maxBufferedResponse = 4 << 20

// Reply is a response that has started.
type Reply struct {
	Status        int
	Header        http.Header
	ContentType   string
	Length        int64 // of the body; -1 if unknown
	Load          Load
	body          io.Reader
	raw           io.ReadCloser
	cancel        context.CancelFunc
	cutoff        time.Time // when the response is cut off; zero means never
	stallTimeout  time.Duration
	alive         func() bool
	failOver      func() bool
	onData        func()
	startedAt     time.Time
	reading       atomic.Bool
	readStartedAt atomic.Int64 // start of the last read, relative to startedAt
	stallTimer    *time.Timer  // kept across reads; checks how long the current read has taken
	closed        atomic.Bool
	closeOnce     sync.Once
}

// silenceCheckInterval is how often a tolerated silence is checked again.
const silenceCheckInterval = 50 * time.Millisecond

// Read returns data as it arrives; a response that stalls or is interrupted gives an error.
func (r *Reply) Read(p []byte) (int, error) {
	r.readStartedAt.Store(int64(time.Since(r.startedAt)))
	r.reading.Store(true)
	n, err := r.body.Read(p)
	r.reading.Store(false)
	if n > 0 && r.onData != nil {
		r.onData()
	}
	return n, err
}

// watch starts the checks for stalls and for the cutoff.
func (r *Reply) watch() {
	r.startedAt = time.Now()
	// The timer must be assigned before it can fire, hence the long initial duration.
	r.stallTimer = time.AfterFunc(time.Hour, r.check)
	r.checkAfter(r.stallTimeout)
}

// checkAfter schedules the next check after a delay, or at the cutoff if that is sooner.
func (r *Reply) checkAfter(delay time.Duration) {
	if !r.cutoff.IsZero() {
		delay = min(delay, time.Until(r.cutoff))
	}
	r.stallTimer.Reset(delay)
}

// check ends a response that has reached its cutoff or has stalled.
func (r *Reply) check() {
	switch {
	case r.closed.Load():
	case !r.cutoff.IsZero() && !time.Now().Before(r.cutoff):
		r.cancel()
	default:
		r.checkStall()
	}
}

// checkStall ends a stalled response, unless its replica sends data on other requests or no other replica has
// resumed it.
func (r *Reply) checkStall() {
	if !r.reading.Load() {
		r.checkAfter(r.stallTimeout)
		return
	}
	if left := r.stallTimeout - time.Since(r.startedAt) + time.Duration(r.readStartedAt.Load()); left > 0 {
		r.checkAfter(left)
		return
	}
	if r.alive != nil && r.alive() || r.failOver != nil && !r.failOver() {
		r.checkAfter(silenceCheckInterval)
		return
	}
	r.cancel()
}

// Close ends the attempt.
func (r *Reply) Close() error {
	r.closeOnce.Do(func() {
		r.closed.Store(true)
		r.stallTimer.Stop()
		r.cancel()
		_ = r.raw.Close()
	})
	return nil
}

// awaitFirstByte waits for the first byte, or for the complete response if it is buffered.
func (r *Reply) awaitFirstByte(body io.Reader, buffered bool) error {
	if buffered {
		b, err := io.ReadAll(io.LimitReader(body, maxBufferedResponse+1))
		if err != nil {
			return err
		}
		if len(b) > maxBufferedResponse {
			return errors.New("it is too large to be read whole")
		}
		r.body, r.Length = bytes.NewReader(b), int64(len(b))
		return nil
	}
	reader := bufio.NewReaderSize(body, 4<<10)
	r.body = reader
	if _, err := reader.Peek(1); err != nil && err != io.EOF {
		return err
	}
	return nil
}
