package day

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// Use of kept connections. A caller uses usedShare of each limit.
const (
	usedShare     = 0.8
	maxKeptIdle   = 1500 * time.Millisecond
	maxKeptHead   = 700 * time.Millisecond
	maxKeptHeader = 20 << 10
	// headBytes is more than a head takes besides its filler.
	headBytes = 500
)

// connLimits are the limits of callers' connections in one version of the configuration.
// Zero means that the version states none.
type connLimits struct {
	headerBytes                int
	headerTimeout, idleTimeout time.Duration
}

// limitsOf returns the limits of a version. Each of them goes up and down again within a few
// versions, and is not stated in some.
func limitsOf(version int) connLimits {
	return connLimits{
		headerBytes:   []int{0, 2 << 10, 32 << 10, 2 << 10}[version%4],
		headerTimeout: []time.Duration{400 * time.Millisecond, 0, 2 * time.Second}[version%3],
		idleTimeout:   []time.Duration{500 * time.Millisecond, 3 * time.Second, 0, time.Second, 500 * time.Millisecond}[version%5],
	}
}

func (l connLimits) message() map[string]any {
	return map[string]any{"max_body_bytes": 10_000, "max_header_bytes": l.headerBytes,
		"header_timeout_ms": l.headerTimeout.Milliseconds(), "idle_timeout_ms": l.idleTimeout.Milliseconds()}
}

// strictest returns the stricter of each limit.
func (l connLimits) strictest(o connLimits) connLimits {
	return connLimits{
		headerBytes:   int(stricter(int64(l.headerBytes), int64(o.headerBytes))),
		headerTimeout: time.Duration(stricter(int64(l.headerTimeout), int64(o.headerTimeout))),
		idleTimeout:   time.Duration(stricter(int64(l.idleTimeout), int64(o.idleTimeout))),
	}
}

// stricter returns the stricter of two limits, of which 0 means none.
func stricter(a, b int64) int64 {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// allows reports whether a request stays within the limits.
func (l connLimits) allows(u use) bool {
	return (l.headerBytes == 0 || u.bytes+headBytes < l.headerBytes) && within(u.head, l.headerTimeout) && within(u.idle, l.idleTimeout)
}

func within(d, limit time.Duration) bool {
	return limit == 0 || d <= time.Duration(usedShare*float64(limit))
}

// use is how a request uses a kept connection: the size of its head, the pause within it and
// the time that the connection was idle before.
type use struct {
	bytes      int
	head, idle time.Duration
}

// keptCaller sends requests on one connection as long as it lasts.
type keptCaller struct {
	day     *day
	gateway int
	rnd     *rand.Rand
	process *process
	conn    net.Conn
	r       *bufio.Reader
	idleAt  time.Time
	// inForce is the version that the gateway is known to have, with what came later.
	inForce int
}

// callKept uses kept connections to a gateway until the end of the day, and checks that
// requests within the limits that may be in force are answered.
func (d *day) callKept(gateway int, rnd *rand.Rand) {
	k := &keptCaller{day: d, gateway: gateway, rnd: rnd}
	defer k.close()
	for sleep(d.ctx, callerPause) {
		if err := k.callOnce(); err != nil {
			k.close()
		}
	}
}

func (k *keptCaller) close() {
	if k.conn != nil {
		k.conn.Close()
		k.conn = nil
	}
}

// callOnce sends one request, after a time of rest if the connection is kept.
func (k *keptCaller) callOnce() error {
	p := k.day.gateway(k.gateway)
	if p == nil || p != k.process || k.conn == nil {
		return k.connect(p)
	}
	u := use{}
	switch k.rnd.IntN(3) {
	case 0:
		sleep(k.day.ctx, time.Duration(k.rnd.Int64N(int64(maxKeptIdle))))
	case 1:
		u.head = time.Duration(k.rnd.Int64N(int64(maxKeptHead)))
	case 2:
		u.bytes = k.rnd.IntN(maxKeptHeader)
	}
	u.idle = time.Since(k.idleAt)
	if !k.limits().allows(u) {
		return k.confirm()
	}
	status, err := k.send("main", &u)
	if status == http.StatusOK || status == http.StatusServiceUnavailable {
		return nil
	}
	if k.day.gateway(k.gateway) == p && k.day.ctx.Err() == nil && k.limits().allows(u) {
		k.day.violate("%s answers %d (%v) to a request on a kept connection, with a head of %d bytes sent within %v after %v; limits %+v since version %d",
			p.id, status, err, u.bytes, u.head, u.idle, k.limits(), k.inForce)
	}
	return fmt.Errorf("answer %d: %w", status, net.ErrClosed)
}

// limits returns the strictest limits from the version that the gateway is known to have to
// the newest one.
func (k *keptCaller) limits() connLimits {
	l := limitsOf(k.inForce)
	for v := k.inForce + 1; v <= k.day.newest(); v++ {
		l = l.strictest(limitsOf(v))
	}
	return l
}

func (k *keptCaller) connect(p *process) error {
	k.close()
	k.process = p
	if p == nil {
		return nil
	}
	conn, err := net.Dial("tcp", p.address)
	if err != nil {
		return fmt.Errorf("connect: %w", err)
	}
	k.conn, k.r = conn, bufio.NewReader(conn)
	return k.confirm()
}

// confirm finds out whether the newest version is in force, on the kept connection.
func (k *keptCaller) confirm() error {
	v := k.day.newest()
	status, err := k.send(versionKey(v), &use{})
	if err != nil {
		return err
	}
	if status == http.StatusOK {
		k.inForce = v
	}
	return nil
}

// send sends a lookup with a key, and measures the times of its use of the connection.
func (k *keptCaller) send(key string, u *use) (status int, err error) {
	if err := k.conn.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		return 0, fmt.Errorf("set deadline: %w", err)
	}
	r := k.day.request(k.process, "/lookup/", key, false)
	r.Header.Set("X-Filler", strings.Repeat("x", u.bytes))
	var head strings.Builder
	if err := r.Write(&head); err != nil {
		return 0, fmt.Errorf("write: %w", err)
	}
	text := head.String()
	if _, err := io.WriteString(k.conn, text[:len(text)/2]); err != nil {
		return 0, fmt.Errorf("send: %w", err)
	}
	begun := time.Now()
	u.idle = begun.Sub(k.idleAt)
	sleep(k.day.ctx, u.head)
	_, err = io.WriteString(k.conn, text[len(text)/2:])
	u.head = time.Since(begun)
	if err != nil {
		return 0, fmt.Errorf("send: %w", err)
	}
	resp, err := http.ReadResponse(k.r, r)
	if err != nil {
		return 0, fmt.Errorf("read: %w", err)
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	k.idleAt = time.Now()
	if err == nil && resp.Close {
		err = net.ErrClosed
	}
	return resp.StatusCode, err
}
