package cli

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"
)

// maxLogLineBytes limits the length of a line of a log file.
const maxLogLineBytes = 1 << 20

// stateMessages are the log messages about changes of the state that a gateway bases its
// decisions on. The last one of each before a decision explains it.
var stateMessages = []string{"configuration changed", "backend servers changed", "store lost", "store regained", "gateway is leaving", "settings reloaded"}

// crashMessages are the log messages about crashes of backend servers that count against
// a request. They bear the fingerprint of the request instead of an id, since copies of
// a request have ids of their own.
var crashMessages = []string{"crash counted", "request is quarantined, since it crashes backend servers",
	"request cleared, since a backend server has served it"}

// limitMessages are the log messages about the rate limits of servers. The last one of each
// server explains a request that was refused for limitReason.
var limitMessages = []string{"server named a rate limit", "server names no rate limit any more",
	"rate limit of a server ended, since no reply has named it for long", "rate limit ended with the process of its server"}

const limitReason = "servers_limited"

// maxCrashLines is the number of latest lines about crashes that explain a request.
const maxCrashLines = 16

type explainCommand struct {
	RequestID string   `arg:"" help:"Id of the request."`
	Files     []string `arg:"" type:"existingfile" help:"Log files of gateways (JSON lines)."`
}

// logLine is a parsed line of a log file.
type logLine struct {
	file    string
	time    time.Time
	message string
	fields  map[string]any
}

// Run prints the log lines of a request and, for each file, the last lines about state
// changes before it, all in order of time.
func (c explainCommand) Run(out *output) error {
	var found []logLine
	for _, name := range c.Files {
		f, err := os.Open(name)
		if err != nil {
			return badInput("open log: %w", err)
		}
		lines, err := requestLines(name, f, c.RequestID)
		f.Close()
		if err != nil {
			return badInput("read log %s: %w", name, err)
		}
		found = append(found, lines...)
	}
	if len(found) == 0 {
		return fmt.Errorf("none of %d log files has a line of request %q", len(c.Files), c.RequestID)
	}
	slices.SortStableFunc(found, func(a, b logLine) int { return a.time.Compare(b.time) })
	var text strings.Builder
	records := make([]map[string]any, 0, len(found))
	for _, l := range found {
		text.WriteString(l.String())
		records = append(records, l.fields)
	}
	return out.print(records, text.String())
}

// requestLines returns the lines of a log file about a request, preceded by the last line
// of each state message before the first of them, by those about crashes of equal requests
// and by those about the rate limits for which it was refused. It skips lines that are not JSON, since
// other programs may write to the same file.
func requestLines(name string, r io.Reader, id string) ([]logLine, error) {
	var found []logLine
	begun := false
	lastState := map[string]logLine{}
	crashes := map[string][]logLine{}
	limits := map[string]logLine{}
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLogLineBytes)
	for s.Scan() {
		l, ok := parseLine(name, s.Text())
		if !ok {
			continue
		}
		if slices.Contains(stateMessages, l.message) {
			lastState[l.message] = l
		}
		fingerprint, _ := l.fields["fingerprint"].(string)
		if slices.Contains(crashMessages, l.message) {
			list := append(crashes[fingerprint], l)
			crashes[fingerprint] = list[max(0, len(list)-maxCrashLines):]
		}
		if slices.Contains(limitMessages, l.message) {
			server, _ := l.fields["server"].(string)
			limits[server] = l
		}
		if l.fields["request_id"] != id {
			continue
		}
		if l.fields["reason"] == limitReason {
			for _, limit := range limits {
				found = append(found, limit)
			}
		}
		found = append(found, crashes[fingerprint]...)
		delete(crashes, fingerprint)
		if !begun {
			begun = true
			for _, state := range lastState {
				found = append(found, state)
			}
		}
		found = append(found, l)
	}
	if err := s.Err(); err != nil {
		return nil, fmt.Errorf("scan lines: %w", err)
	}
	return found, nil
}

// parseLine parses one JSON line. It skips text before the first brace, such as the time
// and host name that a log collector adds. It reports false for a line that is not JSON
// or has no valid time.
func parseLine(file, text string) (logLine, bool) {
	i := strings.IndexByte(text, '{')
	if i < 0 {
		return logLine{}, false
	}
	l := logLine{file: file}
	if err := json.Unmarshal([]byte(text[i:]), &l.fields); err != nil {
		return logLine{}, false
	}
	l.message, _ = l.fields["msg"].(string)
	timeText, _ := l.fields["time"].(string)
	t, err := time.Parse(time.RFC3339Nano, timeText)
	if err != nil {
		return logLine{}, false
	}
	l.time = t
	return l, true
}

// String returns the line as text, with its fields sorted by key. It omits the level and
// the request id.
func (l logLine) String() string {
	keys := make([]string, 0, len(l.fields))
	for k := range l.fields {
		if k != "msg" && k != "time" && k != "level" && k != "request_id" {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s: %s", l.time.Format("15:04:05.000"), l.file, l.message)
	for _, k := range keys {
		fmt.Fprintf(&b, " %s=%v", k, l.fields[k])
	}
	b.WriteString("\n")
	return b.String()
}
