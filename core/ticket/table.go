package ticket

import (
	"crypto/hmac"
	"time"
)

// Config sets a table.
type Config struct {
	// Addr and Incarnation name this process to other VMs.
	Addr        string
	Incarnation uint64
	// Secret signs tickets; it lives as long as the process.
	Secret []byte
	// TTL is how long a ticket may be used, counted from its issue.
	TTL time.Duration
	// Cap bounds the used tickets remembered.
	Cap int
}

// VerdictKind says what to do with a request that carries a ticket.
type VerdictKind uint8

// Verdicts.
const (
	// VerdictRun: first use; run it, then call Finish.
	VerdictRun VerdictKind = iota + 1
	// VerdictWait: the first use is still running.
	VerdictWait
	// VerdictAnswered: Answer holds the first use's answer.
	VerdictAnswered
	// VerdictElsewhere: Issuer must be asked.
	VerdictElsewhere
	// VerdictVoid: issued by an earlier process at this address.
	VerdictVoid
	// VerdictExpired: too old; an earlier use may have run.
	VerdictExpired
	// VerdictForged: not a ticket of any VM, or altered.
	VerdictForged
	// VerdictOtherTeam: issued to another team.
	VerdictOtherTeam
	// VerdictOtherBody: used before with another request.
	VerdictOtherBody
	// VerdictFull: no memory to remember its use; it did not run.
	VerdictFull
)

// Verdict is what to do with a request.
type Verdict[A any] struct {
	Kind   VerdictKind
	Number uint64
	Answer A
	Issuer Issuer
}

// Table remembers the tickets that were used.
type Table[A any] struct {
	cfg    Config
	issued uint64
	used   map[uint64]*use[A]
	// byExpiry lists used tickets, oldest use first.
	byExpiry []expiry
}

type use[A any] struct {
	body   uint64
	done   bool
	answer A
}

type expiry struct {
	number uint64
	at     time.Duration
}

// New makes an empty table.
func New[A any](cfg Config) *Table[A] {
	return &Table[A]{cfg: cfg, used: make(map[uint64]*use[A])}
}

// Issue makes a ticket for a team. It costs no memory until it is used.
func (tb *Table[A]) Issue(now time.Duration, team string) string {
	tb.issued++
	tk := token{
		Addr:        tb.cfg.Addr,
		Incarnation: tb.cfg.Incarnation,
		Number:      tb.issued,
		Expires:     now + tb.cfg.TTL,
		Team:        team,
	}
	tk.MAC = tk.sign(tb.cfg.Secret)
	return tk.encode()
}

// Begin judges a request that carries a ticket. Body is a hash of the request.
func (tb *Table[A]) Begin(now time.Duration, text, team string, body uint64) Verdict[A] {
	tb.expire(now)
	tk, ok := decode(text)
	if !ok || tk.Addr == "" {
		return Verdict[A]{Kind: VerdictForged}
	}
	if tk.Addr != tb.cfg.Addr {
		return Verdict[A]{Kind: VerdictElsewhere, Issuer: Issuer{Addr: tk.Addr, Incarnation: tk.Incarnation}}
	}
	if tk.Incarnation != tb.cfg.Incarnation {
		return Verdict[A]{Kind: VerdictVoid}
	}
	if !hmac.Equal(tk.MAC, tk.sign(tb.cfg.Secret)) {
		return Verdict[A]{Kind: VerdictForged}
	}
	if tk.Team != team {
		return Verdict[A]{Kind: VerdictOtherTeam}
	}
	if now >= tk.Expires {
		return Verdict[A]{Kind: VerdictExpired}
	}
	return tb.use(tk, body)
}

func (tb *Table[A]) use(tk token, body uint64) Verdict[A] {
	us, ok := tb.used[tk.Number]
	if !ok {
		return tb.first(tk, body)
	}
	if us.body != body {
		return Verdict[A]{Kind: VerdictOtherBody}
	}
	if !us.done {
		return Verdict[A]{Kind: VerdictWait, Number: tk.Number}
	}
	return Verdict[A]{Kind: VerdictAnswered, Number: tk.Number, Answer: us.answer}
}

func (tb *Table[A]) first(tk token, body uint64) Verdict[A] {
	if len(tb.used) >= tb.cfg.Cap {
		return Verdict[A]{Kind: VerdictFull}
	}
	tb.used[tk.Number] = &use[A]{body: body}
	tb.byExpiry = append(tb.byExpiry, expiry{number: tk.Number, at: tk.Expires})
	return Verdict[A]{Kind: VerdictRun, Number: tk.Number}
}

// Finish keeps the answer of a ticket's first use.
func (tb *Table[A]) Finish(number uint64, answer A) {
	us, ok := tb.used[number]
	if !ok {
		// It ran on beyond its expiry; nobody may ask for it any more.
		return
	}
	us.done = true
	us.answer = answer
}

// Len is the number of used tickets remembered.
func (tb *Table[A]) Len() int {
	return len(tb.used)
}

// expire forgets tickets that Begin would refuse as expired anyway.
func (tb *Table[A]) expire(now time.Duration) {
	for len(tb.byExpiry) > 0 && tb.byExpiry[0].at <= now {
		delete(tb.used, tb.byExpiry[0].number)
		tb.byExpiry = tb.byExpiry[1:]
	}
}
