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
// whole list consistent. All pages are of one era.
func (c *Client) ListTopic(ctx context.Context, t fleet.Topic, stale bool) (TopicUpdate, error) {
	var all TopicUpdate
	after := ""
	listEra := uint16(0)
	for page := range maxPages {
		body, era, err := c.get(ctx, platform.TopicListPath(t, after, stale), 0)
		if err != nil {
			return TopicUpdate{}, err
		}
		p, err := platform.DecodeList(t, body)
		if err != nil {
			return TopicUpdate{}, err
		}
		setEra(&p.Update, era)
		switch {
		case page == 0:
			all.Update, listEra = p.Update, era
		case era != listEra:
			return TopicUpdate{}, Unavailable.New("list of %s has pages of eras %d and %d", t, listEra, era)
		default:
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
// waits at most wait for one. Changes since a version of an older era are not kept.
func (c *Client) WatchTopic(ctx context.Context, t fleet.Topic, since schema.Version, wait clock.Milli) (TopicUpdate, error) {
	if since.Era() != c.Era() {
		return TopicUpdate{}, Compacted.New("changes of %s since revision %d of era %d: the store has era %d", t, since.Revision(), since.Era(), c.Era())
	}
	body, era, err := c.get(ctx, platform.TopicWatchPath(t, since, wait), wait)
	switch {
	case err != nil:
		return TopicUpdate{}, err
	case era != since.Era():
		return TopicUpdate{}, Compacted.New("changes of %s since revision %d of era %d: the store has era %d", t, since.Revision(), since.Era(), era)
	}
	p, err := platform.DecodeChanges(t, schema.Version(since.Revision()), body)
	setEra(&p.Update, era)
	return TopicUpdate{Update: p.Update, Errors: p.Errors}, err
}
