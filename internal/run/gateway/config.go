package gateway

import (
	"bytes"
	"compress/gzip"

	"github.com/go-faster/errors"

	core "monsoonlanding/internal/core/gateway"
	"monsoonlanding/internal/wire/http1"
)

// maxConfigBytes bounds a decompressed configuration.
const maxConfigBytes = 64 << 20

// packConfig compresses the configuration for the peers.
func (r *Runner) packConfig(e core.PackConfig) {
	packed, err := pack(e.Body)
	if err != nil {
		r.log.Warn().Str("step", "config").Int64("version", e.Version).Err(err).Msg("configuration not compressed")
		return
	}
	r.submit(core.ConfigPacked{Version: e.Version, Packed: packed})
}

// unpackConfig decodes the configuration of a peer.
func (r *Runner) unpackConfig(e core.UnpackConfig) {
	body, err := unpack(e.Packed)
	if err != nil {
		r.submit(core.ConfigInvalid{Version: e.Version, Node: e.Node, Size: len(e.Packed), Problem: err.Error()})
		return
	}
	config, err := r.cfg.Services.DecodeConfig(body)
	if err == nil && config.Version != e.Version {
		err = errors.Errorf("got version %d, expected %d", config.Version, e.Version)
	}
	if err != nil {
		r.submit(core.ConfigInvalid{Version: e.Version, Node: e.Node, Size: len(e.Packed), Problem: err.Error()})
		return
	}
	r.submit(core.ConfigRead{Config: config, Body: body, Packed: e.Packed, Source: e.Node})
}

func pack(body []byte) ([]byte, error) {
	var packed bytes.Buffer
	w, err := gzip.NewWriterLevel(&packed, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(body); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return packed.Bytes(), nil
}

func unpack(packed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.Wrap(err, "decompress configuration")
	}
	body, err := http1.ReadDocument(reader, maxConfigBytes)
	if err != nil {
		return nil, errors.Wrap(err, "decompress configuration")
	}
	return body, nil
}
