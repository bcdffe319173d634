package peer

import (
	"compress/flate"
	"errors"
	"fmt"
	"io"
)

// errInvalidCompression is returned for a stream that is not valid DEFLATE data.
var errInvalidCompression = errors.New("invalid DEFLATE data in stream")

// writeCompressed writes a document in DEFLATE format. Parts are JSON with many
// repeated names, and a starting host fetches all of them, so saving bytes
// matters more than compression time.
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

// readCompressed decompresses a stream up to MaxMessage+1 bytes. The limit keeps
// a small stream from expanding until memory is exhausted.
func readCompressed(r io.Reader) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(r), MaxMessage+1))
	var corrupt flate.CorruptInputError
	if errors.As(err, &corrupt) || errors.Is(err, io.ErrUnexpectedEOF) {
		return nil, fmt.Errorf("%w: %w", errInvalidCompression, err)
	}
	return raw, err
}
