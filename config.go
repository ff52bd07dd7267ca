package cuminstair

import "context"

// Exchange sends messages about configurations between daemons. Package peer implements it.
type Exchange interface {
	// Tell sends a message without waiting for delivery; the message may be lost.
	Tell(daemon string, message []byte)
	// Ask sends a message and waits for the answer.
	Ask(ctx context.Context, daemon string, message []byte) ([]byte, error)
}
