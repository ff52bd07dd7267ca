package intake

// Reason is the limit for which a connection was closed or a request refused.
type Reason uint8

// Reasons.
const (
	TooManyConns Reason = iota // the bound on connections
	HeadTooLarge
	HeadTooSlow
	BodyTooLarge
	BodyTooSlow
	NoMemory
	reasons
)

func (r Reason) String() string {
	return [reasons]string{"connections", "head bytes", "head time", "body bytes", "body time", "memory"}[r]
}
