package cuminstair

import "context"

// Exchange carries messages about configurations between daemons. Package peer implements it.
type Exchange interface {
	// Tell sends a message without waiting for its arrival; it may be lost.
	Tell(daemon string, message []byte)
	// Ask sends a message and returns the answer.
	Ask(ctx context.Context, daemon string, message []byte) ([]byte, error)
}
