package peer

import (
	"compress/flate"
	"errors"
	"fmt"
	"io"
)

// errInvalidCompression says that the bytes of a stream are not compressed as the
// protocol wants it.
var errInvalidCompression = errors.New("stream is not compressed correctly")

// writeCompressed writes a document. Parts are JSON with many repeated names,
// and a starting host fetches all of them, so bytes weigh more than the time
// to compress.
func writeCompressed(w io.Writer, raw []byte) error {
	compressor, err := flate.NewWriter(w, flate.DefaultCompression)
	if err != nil {
		return err
	}
	if _, err := compressor.Write(raw); err != nil {
		return err
	}
	return compressor.Close()
}

// readCompressed reads up to MaxMessage+1 bytes, so that a small stream cannot
// fill the memory.
func readCompressed(r io.Reader) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(r), MaxMessage+1))
	var corrupt flate.CorruptInputError
	if errors.As(err, &corrupt) || errors.Is(err, io.ErrUnexpectedEOF) {
		return nil, fmt.Errorf("%w: %w", errInvalidCompression, err)
	}
	return raw, err
}
