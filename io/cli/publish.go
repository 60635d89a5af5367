package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/google/uuid"

	"nutmegnotch/core"
	"nutmegnotch/core/config"
)

type publishCommand struct {
	server   `embed:""`
	File     string `arg:"" optional:"" help:"JSON or TOML file with the value; - reads JSON from standard input."`
	Object   string `help:"Object name, such as contract/acme. Without it the name comes from the value."`
	BasedOn  int64  `default:"-1" help:"Version that the change is based on; 0 for a new object. Without it the present version is read first."`
	ChangeID string `help:"Id of the change. A repeat with the same id ends in the first outcome."`
	Delete   bool   `help:"Delete the object given with --object."`
}

// Run publishes the change.
func (c publishCommand) Run(out *output) error {
	ch, err := c.change()
	if err != nil {
		return err
	}
	if c.BasedOn < -1 {
		return badInput("--based-on is %d, it must not be negative", c.BasedOn)
	}
	ch.BasedOn = c.BasedOn
	if ch.BasedOn == -1 {
		if ch.BasedOn, err = c.version(ch.Object); err != nil {
			return err
		}
	}
	ch.ChangeID = c.ChangeID
	return c.publish(out, ch)
}

// change builds the change from the arguments and checks it offline.
func (c publishCommand) change() (config.Change, error) {
	if c.Delete {
		if c.Object == "" || c.File != "" {
			return config.Change{}, badInput("--delete takes --object and no file")
		}
		if _, _, err := config.ParseObjectName(c.Object); err != nil {
			return config.Change{}, err
		}
		return config.Change{Object: c.Object, Delete: true}, nil
	}
	if c.File == "" {
		return config.Change{}, badInput("a file with the value is missing")
	}
	object, value, err := readObject(c.File, c.Object)
	return config.Change{Object: object, Value: value}, err
}

// version returns the present version of an object, 0 when it is absent.
func (s server) version(object string) (int64, error) {
	o, err := s.object(object)
	return o.Version, err
}

// object returns an object, the zero value when it is absent.
func (s server) object(name string) (config.Object, error) {
	a, err := s.call(http.MethodGet, "/objects/"+name, nil, nil)
	if err != nil {
		return config.Object{}, err
	}
	if a.status == http.StatusNotFound && a.Error.Code == string(core.CodeNotFound) {
		return config.Object{}, nil
	}
	if err := a.failure(); err != nil {
		return config.Object{}, err
	}
	var o config.Object
	if err := json.Unmarshal(a.body, &o); err != nil {
		return config.Object{}, fmt.Errorf("decode object %q: %w", name, err)
	}
	return o, nil
}

// publish sends the change, again with the same id while the server gives no
// answer, and prints the outcome.
func (s server) publish(out *output, c config.Change) error {
	if c.ChangeID == "" {
		c.ChangeID = uuid.NewString()
	}
	a, err := s.send(c)
	if errors.Is(err, errNoAnswer) {
		return &exitError{code: ExitOutcomeUnknown, err: fmt.Errorf("outcome of change %q is unknown, publish it again with --change-id %s --based-on %d: %w", c.ChangeID, c.ChangeID, c.BasedOn, err)}
	}
	if err != nil {
		return err
	}
	if err := a.failure(); err != nil {
		if out.json && a.Outcome != nil {
			return errors.Join(err, out.print(a.Outcome, ""))
		}
		return err
	}
	var o config.Outcome
	if err := json.Unmarshal(a.body, &o); err != nil {
		return &exitError{code: ExitOutcomeUnknown, err: fmt.Errorf("decode outcome of change %q: %w", c.ChangeID, err)}
	}
	text := fmt.Sprintf("%s %s version %d change %s\n", o.Object, o.Result, o.Version, o.ChangeID)
	if err := out.print(o, text); err != nil {
		return err
	}
	if o.Result != config.Accepted {
		return &exitError{code: ExitOutcomeUnknown, err: fmt.Errorf("outcome of change %q is unknown, publish it again with --change-id %s --based-on %d", c.ChangeID, c.ChangeID, c.BasedOn)}
	}
	return nil
}

// send repeats the call until it is answered or the timeout is over. Once a
// call may have had an effect, later failures to connect don't hide that.
func (s server) send(c config.Change) (answer, error) {
	end := time.Now().Add(s.Timeout)
	var unknown error
	for {
		a, err := s.sendOnce(c)
		if errors.Is(err, errNoAnswer) {
			unknown = err
		}
		again := err != nil && unknown != nil || unknown != nil && a.status == http.StatusServiceUnavailable
		if !again {
			return a, err
		}
		if time.Now().After(end) {
			return answer{}, unknown
		}
		time.Sleep(retryPause)
	}
}

func (s server) sendOnce(c config.Change) (answer, error) {
	path := "/objects/" + c.Object
	if c.Delete {
		q := url.Values{"based_on": {strconv.FormatInt(c.BasedOn, 10)}, "change_id": {c.ChangeID}}
		return s.call(http.MethodDelete, path, q, nil)
	}
	return s.call(http.MethodPut, path, nil, map[string]any{"based_on": c.BasedOn, "change_id": c.ChangeID, "value": c.Value})
}
