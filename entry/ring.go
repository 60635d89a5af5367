package entry

// minRingBytes is the first size of a ring.
const minRingBytes = 4 << 10

// ring is a byte queue of at most limit bytes. It grows by doubling, so that a
// reply that is shorter than its reservation holds less.
type ring struct {
	buf   []byte
	start int
	n     int
	limit int
}

// push adds data and reports false when it does not fit.
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

// grow moves the content to a larger buffer. A slice that peek returned before
// stays valid.
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

// peek returns the oldest bytes, at most max of them, without removing them.
func (r *ring) peek(most int) []byte {
	n := min(r.n, most, len(r.buf)-r.start)
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

// clear drops everything and frees the buffer.
func (r *ring) clear() { r.buf, r.start, r.n = nil, 0, 0 }
