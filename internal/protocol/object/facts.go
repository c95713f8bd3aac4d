package object

import (
	"context"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/pkg/schema"
	"coltsfootdock/platform"
)

// Facts is news of a topic. Bad lists the objects that could not be read.
type Facts struct {
	Update fleet.Update
	Bad    []error
}

// AllFacts returns all objects of a topic, or how they were some seconds ago if
// stale. Its revision is the lowest of its pages; changes since then bring all
// of them in line.
func (c *Client) AllFacts(ctx context.Context, t fleet.Topic, stale bool) (Facts, error) {
	var all Facts
	after := ""
	for n := range maxPages {
		body, err := c.get(ctx, platform.TopicListPath(t, after, stale), 0)
		if err != nil {
			return Facts{}, err
		}
		p, err := platform.DecodeList(t, body)
		if err != nil {
			return Facts{}, err
		}
		if n == 0 {
			all.Update = p.Update
		} else {
			all.Update.Targets = append(all.Update.Targets, p.Update.Targets...)
			all.Update.Outs = append(all.Update.Outs, p.Update.Outs...)
			all.Update.Rev = min(all.Update.Rev, p.Update.Rev)
		}
		all.Bad = append(all.Bad, p.Errors...)
		if after = p.Next; after == "" {
			return all, nil
		}
	}
	return Facts{}, Unavailable.New("list of %s has more than %d pages", t, maxPages)
}

// NewFacts returns the changes of a topic since a revision, waiting for one
// for so long.
func (c *Client) NewFacts(ctx context.Context, t fleet.Topic, since schema.Version, wait clock.Milli) (Facts, error) {
	body, err := c.get(ctx, platform.TopicWatchPath(t, since, wait), wait)
	if err != nil {
		return Facts{}, err
	}
	p, err := platform.DecodeChanges(t, since, body)
	return Facts{Update: p.Update, Bad: p.Errors}, err
}
