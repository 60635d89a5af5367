package cli

import (
	"encoding/json"
	"fmt"

	"nutmegnotch/core"
	"nutmegnotch/core/config"
)

type drainCommand struct {
	server `embed:""`
	Name   string `arg:"" help:"Failure domain."`
}

// Run takes the failure domain out of service.
func (c drainCommand) Run(out *output) error {
	return c.setDomain(out, c.Name, core.DomainDrained)
}

type restoreCommand struct {
	server `embed:""`
	Name   string `arg:"" help:"Failure domain."`
}

// Run brings the failure domain back into service.
func (c restoreCommand) Run(out *output) error {
	return c.setDomain(out, c.Name, core.DomainActive)
}

// setDomain publishes the state of a failure domain, based on its current version.
func (s server) setDomain(out *output, name string, state core.DomainState) error {
	object := core.ObjectName(core.KindDomain, name)
	if _, _, err := config.ParseObjectName(object); err != nil {
		return err
	}
	version, err := s.version(object)
	if err != nil {
		return err
	}
	value, err := json.Marshal(core.Domain{Name: name, State: state})
	if err != nil {
		return fmt.Errorf("encode failure domain %q: %w", name, err)
	}
	return s.publish(out, config.Change{Object: object, BasedOn: version, Value: value})
}
