package platformlog_test

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/goleak"

	"nutmegnotch/core"
	emulator "nutmegnotch/emulator/platformlog"
	"nutmegnotch/io/platformlog"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func start(t *testing.T, cfg emulator.Config) (*emulator.Server, *platformlog.Client, *httptest.Server) {
	log := emulator.New(cfg)
	srv := httptest.NewServer(log)
	c := platformlog.New(srv.URL, 300*time.Millisecond)
	t.Cleanup(func() { c.Close(); log.Close(); srv.Close() })
	return log, c, srv
}

// Guards against records that are lost, reordered or changed by the client, and
// against a long poll that misses an append.
func TestAppendAndRead(t *testing.T) {
	_, c, _ := start(t, emulator.Config{})
	ctx := context.Background()
	got := make(chan core.Batch, 1)
	go func() {
		b, err := c.Read(ctx, "config", 0, 10, 5*time.Second)
		if err != nil {
			t.Error(err)
		}
		got <- b
	}()
	time.Sleep(50 * time.Millisecond)
	for i, want := range []string{"one", "two\x00", "three"} {
		offset, err := c.Append(ctx, "config", []byte(want))
		if err != nil || offset != int64(i) {
			t.Fatalf("append: got offset %d (%v), want %d", offset, err, i)
		}
	}
	if b := <-got; len(b.Records) == 0 || string(b.Records[0].Data) != "one" {
		t.Errorf("long poll: got %+v, want the first record", b)
	}
	b, err := c.Read(ctx, "config", 1, 1, 0)
	if err != nil || len(b.Records) != 1 || string(b.Records[0].Data) != "two\x00" || b.NextOffset != 3 {
		t.Errorf("read: got %+v (%v), want the second of three records", b, err)
	}
	if b, err := c.Read(ctx, "config", 3, 1, 50*time.Millisecond); err != nil || len(b.Records) != 0 {
		t.Errorf("read at the end: got %+v (%v), want nothing", b, err)
	}
}

// Guards against ErrNotAppended for a record that may have been appended, and
// against other errors for a record that cannot have been.
func TestAppendErrors(t *testing.T) {
	log, c, srv := start(t, emulator.Config{AppendsPerSecond: 0.001, AppendBurst: 4, MaxRecordBytes: 100})
	tests := []struct {
		name   string
		faults emulator.Faults
		data   []byte
		want   error
	}{
		{name: "lost answer", faults: emulator.Faults{LoseAppendAnswers: 1}, want: core.ErrUnavailable},
		{name: "hang", faults: emulator.Faults{Outage: emulator.OutageHang}, want: core.ErrUnavailable},
		{name: "503", faults: emulator.Faults{Outage: emulator.OutageRefuse}, want: core.ErrUnavailable},
		{name: "slow", faults: emulator.Faults{DelayMS: 5000}, want: core.ErrUnavailable},
		{name: "too large", data: bytes.Repeat([]byte("x"), 101), want: core.ErrInvalid},
	}
	for _, tt := range tests {
		log.SetFaults(tt.faults)
		if tt.data == nil {
			tt.data = []byte("x")
		}
		if _, err := c.Append(context.Background(), "s", tt.data); !errors.Is(err, tt.want) || errors.Is(err, core.ErrNotAppended) {
			t.Errorf("%s: got %v, want %v", tt.name, err, tt.want)
		}
	}
	log.SetFaults(emulator.Faults{})
	for range 3 {
		if _, err := c.Append(context.Background(), "s", []byte("x")); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := c.Append(context.Background(), "s", []byte("x")); !errors.Is(err, core.ErrRateLimited) {
		t.Errorf("over the rate: got %v, want ErrRateLimited", err)
	}
	if b, err := c.Offsets(context.Background(), "s"); err != nil || b.NextOffset != 4 {
		t.Errorf("offsets: got %+v (%v), want 4 records: the one with a lost answer and three", b, err)
	}
	srv.CloseClientConnections()
	srv.Listener.Close()
	c.Close()
	if _, err := c.Append(context.Background(), "s", []byte("x")); !errors.Is(err, core.ErrNotAppended) {
		t.Errorf("no connection: got %v, want ErrNotAppended", err)
	}
}

// Guards against a read of expired records that does not return ErrExpired.
func TestExpiry(t *testing.T) {
	log, c, srv := start(t, emulator.Config{Retention: 400 * time.Millisecond, MaxRecords: 3})
	ctx := context.Background()
	for range 5 {
		if _, err := c.Append(ctx, "s", []byte("x")); err != nil {
			t.Fatal(err)
		}
	}
	expired := func(what string, first int64) {
		t.Helper()
		b, err := c.Read(ctx, "s", 0, 10, 0)
		if !errors.Is(err, core.ErrExpired) || b.FirstOffset != first || b.NextOffset != 5 {
			t.Errorf("%s: got %+v (%v), want ErrExpired with first offset %d", what, b, err, first)
		}
	}
	expired("above the count", 2)
	resp, err := http.Post(srv.URL+"/faults", "application/json", bytes.NewReader([]byte(`{"expire_before":3,"expire_stream":"s"}`)))
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("set faults: got %v (%v), want 200", resp, err)
	}
	resp.Body.Close()
	http.DefaultClient.CloseIdleConnections()
	expired("by injected fault", 3)
	time.Sleep(700 * time.Millisecond)
	expired("by age", 5)
	log.SetFaults(emulator.Faults{})
}

// Guards against a client that goes on with a log that has lost acknowledged records and
// gives out their offsets again.
func TestLogThatLosesRecords(t *testing.T) {
	log, c, _ := start(t, emulator.Config{})
	ctx := context.Background()
	for _, stream := range []string{"a", "b"} {
		for range 3 {
			if _, err := c.Append(ctx, stream, []byte("x")); err != nil {
				t.Fatal(err)
			}
		}
	}
	log.SetFaults(emulator.Faults{LostStream: "a", LoseFrom: 1})
	calls := []struct {
		name string
		call func() error
	}{
		{"append", func() error { _, err := c.Append(ctx, "a", []byte("y")); return err }},
		{"read", func() error { _, err := c.Read(ctx, "a", 3, 1, 0); return err }},
		{"offsets", func() error { _, err := c.Offsets(ctx, "a"); return err }},
	}
	for _, call := range calls {
		if err := call.call(); !errors.Is(err, core.ErrRecordsLost) || !errors.Is(err, core.ErrUnavailable) {
			t.Errorf("%s: got %v, want %v", call.name, err, core.ErrRecordsLost)
		}
	}
	if _, err := c.Append(ctx, "b", []byte("y")); err != nil {
		t.Errorf("append to another stream: got %v, want no error", err)
	}
}
