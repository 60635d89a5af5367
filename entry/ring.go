package entry

// minRingBytes is the initial size of a ring's buffer.
const minRingBytes = 4 << 10

// ring is a ring buffer of at most limit bytes. It grows by doubling, so that a
// reply shorter than its reservation uses less memory.
type ring struct {
	buf   []byte
	start int
	n     int
	limit int
}

// push appends data. It returns false and adds nothing if data does not fit.
func (r *ring) push(data []byte) bool {
	if r.n+len(data) > r.limit {
		return false
	}
	if r.n+len(data) > len(r.buf) {
		r.grow(r.n + len(data))
	}
	end := (r.start + r.n) % max(1, len(r.buf))
	copied := copy(r.buf[end:], data)
	copy(r.buf, data[copied:])
	r.n += len(data)
	return true
}

// grow moves the content to a larger buffer. Slices that peek has returned stay
// valid.
func (r *ring) grow(need int) {
	size := max(minRingBytes, 2*len(r.buf))
	for size < need {
		size *= 2
	}
	buf := make([]byte, min(size, r.limit))
	head := r.peek(r.n)
	copied := copy(buf, head)
	if copied < r.n {
		copy(buf[copied:], r.buf[:r.n-copied])
	}
	r.buf, r.start = buf, 0
}

// peek returns at most maxBytes of the oldest bytes without removing them. It
// returns fewer if they wrap around the end of the buffer.
func (r *ring) peek(maxBytes int) []byte {
	n := min(r.n, maxBytes, len(r.buf)-r.start)
	return r.buf[r.start : r.start+n]
}

// pop removes the oldest n bytes.
func (r *ring) pop(n int) {
	r.n -= n
	if len(r.buf) > 0 {
		r.start = (r.start + n) % len(r.buf)
	}
	if r.n == 0 {
		r.start = 0
	}
}

// clear discards the content and frees the buffer.
func (r *ring) clear() { r.buf, r.start, r.n = nil, 0, 0 }
