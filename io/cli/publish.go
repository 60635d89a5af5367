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

// Run publishes a new value, or the deletion, of an object.
func (c publishCommand) Run(out *output) error {
	ch, err := c.change()
	if err != nil {
		return err
	}
	if c.BasedOn < -1 {
		return badInput("--based-on is %d, must not be negative", c.BasedOn)
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

// change builds the change from the arguments and validates it without the server.
func (c publishCommand) change() (config.Change, error) {
	if c.Delete {
		if c.Object == "" || c.File != "" {
			return config.Change{}, badInput("--delete requires --object and takes no file")
		}
		if _, _, err := config.ParseObjectName(c.Object); err != nil {
			return config.Change{}, err
		}
		return config.Change{Object: c.Object, Delete: true}, nil
	}
	if c.File == "" {
		return config.Change{}, badInput("missing argument: file with the value")
	}
	object, value, err := readObject(c.File, c.Object)
	return config.Change{Object: object, Value: value}, err
}

// version returns the current version of an object, or 0 if it does not exist.
func (s server) version(object string) (int64, error) {
	o, err := s.object(object)
	return o.Version, err
}

// object returns an object, or the zero value if it does not exist.
func (s server) object(name string) (config.Object, error) {
	res, err := s.call(http.MethodGet, "/objects/"+name, nil, nil)
	if err != nil {
		return config.Object{}, err
	}
	if res.status == http.StatusNotFound && res.Error.Code == string(core.CodeNotFound) {
		return config.Object{}, nil
	}
	if err := res.statusError(); err != nil {
		return config.Object{}, err
	}
	var o config.Object
	if err := json.Unmarshal(res.body, &o); err != nil {
		return config.Object{}, fmt.Errorf("decode object %q: %w", name, err)
	}
	return o, nil
}

// publish sends a change, retries it with the same id while there is no response, and
// prints the outcome. It generates an id if the change has none.
func (s server) publish(out *output, c config.Change) error {
	if c.ChangeID == "" {
		c.ChangeID = uuid.NewString()
	}
	res, err := s.send(c)
	if errors.Is(err, errNoResponse) {
		return &exitError{code: ExitOutcomeUnknown, err: fmt.Errorf("outcome of change %q is unknown; publish it again with --change-id %s --based-on %d: %w", c.ChangeID, c.ChangeID, c.BasedOn, err)}
	}
	if err != nil {
		return err
	}
	if err := res.statusError(); err != nil {
		if out.json && res.Outcome != nil {
			return errors.Join(err, out.print(res.Outcome, ""))
		}
		return err
	}
	var o config.Outcome
	if err := json.Unmarshal(res.body, &o); err != nil {
		return &exitError{code: ExitOutcomeUnknown, err: fmt.Errorf("decode outcome of change %q: %w", c.ChangeID, err)}
	}
	text := fmt.Sprintf("%s %s version %d change %s\n", o.Object, o.Result, o.Version, o.ChangeID)
	if err := out.print(o, text); err != nil {
		return err
	}
	if o.Result != config.Accepted {
		return &exitError{code: ExitOutcomeUnknown, err: fmt.Errorf("outcome of change %q is unknown; publish it again with --change-id %s --based-on %d", c.ChangeID, c.ChangeID, c.BasedOn)}
	}
	return nil
}

// send makes the call and retries it while there is no response, until the timeout has
// passed. After a call without a response, which may have had an effect, connection
// errors and responses with status 503 are retried too, and the final error wraps
// errNoResponse.
func (s server) send(c config.Change) (response, error) {
	deadline := time.Now().Add(s.Timeout)
	var noResponseErr error
	for {
		res, err := s.sendOnce(c)
		if errors.Is(err, errNoResponse) {
			noResponseErr = err
		}
		retry := err != nil && noResponseErr != nil || noResponseErr != nil && res.status == http.StatusServiceUnavailable
		if !retry {
			return res, err
		}
		if time.Now().After(deadline) {
			return response{}, noResponseErr
		}
		time.Sleep(retryInterval)
	}
}

// sendOnce makes one call that publishes a change.
func (s server) sendOnce(c config.Change) (response, error) {
	path := "/objects/" + c.Object
	if c.Delete {
		q := url.Values{"based_on": {strconv.FormatInt(c.BasedOn, 10)}, "change_id": {c.ChangeID}}
		return s.call(http.MethodDelete, path, q, nil)
	}
	return s.call(http.MethodPut, path, nil, map[string]any{"based_on": c.BasedOn, "change_id": c.ChangeID, "value": c.Value})
}
