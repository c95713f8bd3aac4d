package object

import (
	"context"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/pkg/schema"
	"coltsfootdock/platform"
)

// TopicUpdate is an update of a topic. Errors has one error for each object that can't
// be decoded completely.
type TopicUpdate struct {
	Update fleet.Update
	Errors []error
}

// ListTopic reads all objects of a topic. If stale is set, they may be some
// seconds old. The revision of the result is the lowest of its pages, since
// pages are read one after another; applying the changes since then makes the
// whole list consistent.
func (c *Client) ListTopic(ctx context.Context, t fleet.Topic, stale bool) (TopicUpdate, error) {
	var all TopicUpdate
	after := ""
	for page := range maxPages {
		body, err := c.get(ctx, platform.TopicListPath(t, after, stale), 0)
		if err != nil {
			return TopicUpdate{}, err
		}
		p, err := platform.DecodeList(t, body)
		if err != nil {
			return TopicUpdate{}, err
		}
		if page == 0 {
			all.Update = p.Update
		} else {
			all.Update.Targets = append(all.Update.Targets, p.Update.Targets...)
			all.Update.Unreadable = append(all.Update.Unreadable, p.Update.Unreadable...)
			all.Update.Outs = append(all.Update.Outs, p.Update.Outs...)
			all.Update.Rev = min(all.Update.Rev, p.Update.Rev)
		}
		all.Errors = append(all.Errors, p.Errors...)
		if after = p.Next; after == "" {
			if !stale {
				all.Update.Proved = all.Update.Rev
			}
			return all, nil
		}
	}
	return TopicUpdate{}, Unavailable.New("list of %s has more than %d pages", t, maxPages)
}

// WatchTopic returns the changes of a topic since a revision. Without any, it
// waits at most wait for one.
func (c *Client) WatchTopic(ctx context.Context, t fleet.Topic, since schema.Version, wait clock.Milli) (TopicUpdate, error) {
	body, err := c.get(ctx, platform.TopicWatchPath(t, since, wait), wait)
	if err != nil {
		return TopicUpdate{}, err
	}
	p, err := platform.DecodeChanges(t, since, body)
	return TopicUpdate{Update: p.Update, Errors: p.Errors}, err
}
