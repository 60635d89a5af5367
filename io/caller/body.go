package caller

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"nutmegnotch/core"
)

// memoryRetryAfter is the retry delay of a refusal for lack of upload memory.
const memoryRetryAfter = time.Second

// readBody reads a body of at most limit bytes into reserved memory, and returns
// it with a function that releases the memory. The reservation is the
// Content-Length, or the limit for a chunked body.
func (f *Frontend) readBody(id identity, w http.ResponseWriter, r *http.Request, limit int64) ([]byte, func(), *core.Refusal) {
	if r.ContentLength > limit {
		closeAfterReply(w)
		return nil, nil, refuse(core.CodeTooLarge, "the body is larger than the service permits")
	}
	want := r.ContentLength
	if want < 0 {
		want = limit
	}
	free := func() {}
	if want > 0 {
		release, ok := f.cfg.Reserve(r.Context(), id.contract.Organisation, want, id.contract.ReplyMemoryBytes)
		if !ok {
			closeAfterReply(w)
			return nil, nil, &core.Refusal{Code: core.CodeReplyMemory, NotRun: true, RetryAfter: memoryRetryAfter,
				Message: "no memory is free for the upload"}
		}
		free = release
	}
	body, refusal := f.readAll(w, r, limit)
	if refusal != nil {
		free()
		return nil, nil, refusal
	}
	return body, free, nil
}

func (f *Frontend) readAll(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *core.Refusal) {
	rc := http.NewResponseController(w)
	if err := rc.SetReadDeadline(time.Now().Add(f.cfg.UploadTimeout)); err != nil {
		return nil, refuse(core.CodeBadRequest, "the upload cannot be bounded in time")
	}
	body, err := readWithLength(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, refuse(core.CodeTooLarge, "the body is larger than the service permits")
	case errors.Is(err, os.ErrDeadlineExceeded):
		closeAfterReply(w)
		return nil, refuse(core.CodeUploadTimeout, "the body did not arrive in time")
	case err != nil:
		closeAfterReply(w)
		return nil, refuse(core.CodeBadRequest, "the body could not be read whole")
	}
	if err := rc.SetReadDeadline(time.Time{}); err != nil {
		return nil, refuse(core.CodeBadRequest, "the connection was lost")
	}
	return body, nil
}

// readWithLength reads contentLength bytes of r into one buffer. A negative
// contentLength means that the length is not known; it then reads all of r.
func readWithLength(r io.Reader, contentLength int64) ([]byte, error) {
	if contentLength < 0 {
		return io.ReadAll(r)
	}
	body := make([]byte, contentLength)
	_, err := io.ReadFull(r, body)
	return body, err
}

// closeAfterReply makes the server close the connection after the refusal, since
// the rest of the upload is not read.
func closeAfterReply(w http.ResponseWriter) { w.Header().Set("Connection", "close") }
