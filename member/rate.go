package member

import "time"

// Shares of the byte rate. Each kind of digest has its own share, so that neither replies to many pushes nor many
// urgent updates delay this daemon's pushes.
const (
	pushShare   = 0.5
	replyShare  = 0.35
	urgentShare = 0.15
)

// Bursts, in seconds of the whole byte rate.
const (
	ordinaryBurst = 0.25
	urgentBurst   = 1
	// urgentOverdraft is how far urgent digests about this daemon itself may overdraw their bucket.
	urgentOverdraft = 1
)

// bucket is a token bucket; a token is a byte.
type bucket struct {
	tokens float64
}

func (b *bucket) fill(bytes, limit float64) { b.tokens = min(b.tokens+bytes, limit) }

// take charges a digest, which may overdraw the bucket by its own size.
func (b *bucket) take(to Seed, data []byte) Send {
	b.tokens -= float64(len(data) + Overhead)
	return Send{Name: to.Name, Addr: to.Addr, Data: data}
}

// budget bounds the bytes sent in any t seconds to Rate * (t + 2.5) plus one digest of each kind. 2.5 is the sum of the
// bursts of the three buckets and urgentOverdraft.
type budget struct {
	push, reply, urgent bucket
	refilledAt          time.Time
}

func (b *budget) start(now time.Time, rate int) {
	b.refilledAt = now
	b.urgent.tokens = urgentBurst * float64(rate)
	b.reply.tokens = ordinaryBurst * float64(rate)
}

func (b *budget) refill(now time.Time, rate int) {
	bytes := float64(rate) * now.Sub(b.refilledAt).Seconds()
	b.refilledAt = now
	b.push.fill(pushShare*bytes, ordinaryBurst*float64(rate))
	b.reply.fill(replyShare*bytes, ordinaryBurst*float64(rate))
	b.urgent.fill(urgentShare*bytes, urgentBurst*float64(rate))
}
