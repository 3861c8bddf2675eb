package peerws

import (
	"reflect"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"monsoonlanding/internal/core/peer"
)

// firstTypeTag is the CBOR tag of the first message type. The other types have
// the following tags in the order of messageTypes, so new types must be appended
// to that list.
const firstTypeTag = 62000

var messageTypes = []peer.Message{
	peer.Ping{},
	peer.Ack{},
	peer.PingRequest{},
	peer.Copy{},
	peer.CopyAck{},
	peer.Progress{},
	peer.Drop{},
	peer.DropAck{},
	peer.HandOver{},
	peer.HandOverAck{},
	peer.Lookup{},
	peer.LookupReply{},
	peer.Follow{},
	peer.FollowEvent{},
	peer.Unfollow{},
	peer.Cancel{},
	peer.LedgerRequest{},
	peer.LedgerReply{},
	peer.UpstreamLeaving{},
	peer.UpstreamList{},
	peer.ContentSuspect{},
	peer.RulesUpdate{},
	peer.VersionStopped{},
	peer.Evidence{},
	peer.SuspectRequest{},
	peer.SuspectGrant{},
	peer.SuspectRelease{},
	peer.MoveUpdate{},
	peer.Status{},
	peer.ConfigRequest{},
	peer.ConfigUpdate{},
	peer.UpstreamsDelta{},
	peer.ConfigNotice{},
	peer.ConfigPart{},
	peer.ConfigBusy{},
	peer.StatusForward{},
}

// Codec encodes and decodes messages, each with a CBOR tag for its type.
type Codec struct {
	enc cbor.EncMode
	dec cbor.DecMode
}

// NewCodec returns a codec for all message types.
func NewCodec() (*Codec, error) {
	tags := cbor.NewTagSet()
	opts := cbor.TagOptions{EncTag: cbor.EncTagRequired, DecTag: cbor.DecTagRequired}
	for i, m := range messageTypes {
		if err := tags.Add(opts, reflect.TypeOf(m), firstTypeTag+uint64(i)); err != nil {
			return nil, errors.Wrap(err, "register type of peer message")
		}
	}
	enc, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncModeWithTags(tags)
	if err != nil {
		return nil, errors.Wrap(err, "create encoder of peer messages")
	}
	dec, err := cbor.DecOptions{}.DecModeWithTags(tags)
	if err != nil {
		return nil, errors.Wrap(err, "create decoder of peer messages")
	}
	return &Codec{enc: enc, dec: dec}, nil
}

// Encode encodes a message as a frame.
func (c *Codec) Encode(m peer.Message) ([]byte, error) {
	b, err := c.enc.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "encode peer message")
	}
	return b, nil
}

// Decode decodes the message in a frame.
func (c *Codec) Decode(frame []byte) (peer.Message, error) {
	var v any
	if err := c.dec.Unmarshal(frame, &v); err != nil {
		return nil, errors.Wrap(err, "decode peer message")
	}
	m, ok := v.(peer.Message)
	if !ok {
		return nil, errors.Errorf("decode peer message: got %T, expected a tagged message type", v)
	}
	return m, nil
}
