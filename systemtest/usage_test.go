package systemtest

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTicksPerSecond is USER_HZ, the unit of times in /proc/PID/stat.
const clockTicksPerSecond = 100

// usage holds the resources that a process has used since its start.
type usage struct {
	cpu            float64 // seconds
	read, written  float64 // bytes of read and write calls, sockets included
	calls          float64 // read and write calls
	resident, peak float64 // bytes of memory
	at             time.Time
}

// usage reads the resource use of the process from /proc.
func (p *proc) usage() usage {
	u := usage{at: time.Now()}
	dir := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	stat, _ := os.ReadFile(dir + "stat")
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	for _, i := range []int{11, 12} {
		n, _ := strconv.ParseFloat(fields[i], 64)
		u.cpu += n / clockTicksPerSecond
	}
	values := func(file string) map[string]float64 {
		m := map[string]float64{}
		data, _ := os.ReadFile(dir + file)
		for _, line := range strings.Split(string(data), "\n") {
			if f := strings.Fields(line); len(f) > 1 {
				m[f[0]], _ = strconv.ParseFloat(f[1], 64)
			}
		}
		return m
	}
	io, status := values("io"), values("status")
	u.read, u.written, u.calls = io["rchar:"], io["wchar:"], io["syscr:"]+io["syscw:"]
	u.resident, u.peak = status["VmRSS:"]*1024, status["VmHWM:"]*1024
	return u
}
