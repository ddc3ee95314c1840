package ticket

import (
	"crypto/hmac"
	"slices"
	"time"
)

// Defaults of a Config.
const (
	// DefaultMaxBytes bounds the answers kept.
	DefaultMaxBytes = 16 << 20
	// teamShare is the part of the table that one team may fill.
	teamShare = 2
	// listSlack is how many entries of tickets that are gone the lists may
	// hold beside as many as there are tickets.
	listSlack = 64
)

// Config sets a table. All fields but MaxBytes are required.
type Config struct {
	// Addr and Incarnation name this process to other VMs.
	Addr        string
	Incarnation uint64
	// Secret signs tickets; it lives at least as long as the process.
	Secret []byte
	// Shared tells that all VMs have the same Secret, so that each can check
	// the tickets of others before it asks their issuer.
	Shared bool
	// TTL is how long a ticket may be used, counted from its issue.
	TTL time.Duration
	// Cap bounds the used tickets remembered. One team has at most half.
	Cap int
	// MaxBytes bounds the answers kept, by the sizes given to Finish.
	MaxBytes int
}

// VerdictKind says what to do with a request that carries a ticket.
type VerdictKind uint8

// Verdicts.
const (
	// VerdictRun: first use; run it, then call Finish or Release.
	VerdictRun VerdictKind = iota + 1
	// VerdictWait: the first use is still running.
	VerdictWait
	// VerdictAnswered: Answer holds the first use's answer.
	VerdictAnswered
	// VerdictForgotten: it ran, and its answer was dropped to save memory.
	VerdictForgotten
	// VerdictUnverified: another VM's by its address, but not signed with the
	// shared secret. It is forged, or was issued under another secret: while
	// secrets are exchanged an earlier use may have run.
	VerdictUnverified
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
	teams  map[string]int
	// ends orders the used tickets by expiry: they are not used in the order
	// of their issue.
	ends expiries
	// finished lists tickets with a kept answer, the oldest first.
	finished []uint64
	bytes    int
}

type use[A any] struct {
	team   string
	body   uint64
	state  useState
	answer A
	size   int
}

type useState uint8

const (
	useRunning useState = iota
	useAnswered
	useForgotten
)

// New makes an empty table.
func New[A any](cfg Config) *Table[A] {
	if cfg.MaxBytes == 0 {
		cfg.MaxBytes = DefaultMaxBytes
	}
	return &Table[A]{cfg: cfg, used: make(map[uint64]*use[A]), teams: make(map[string]int)}
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
		// Unchecked, a forged ticket makes this VM send a request to
		// whatever address it names.
		if tb.cfg.Shared && !hmac.Equal(tk.MAC, tk.sign(tb.cfg.Secret)) {
			return Verdict[A]{Kind: VerdictUnverified}
		}
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
	switch us.state {
	case useRunning:
		return Verdict[A]{Kind: VerdictWait, Number: tk.Number}
	case useForgotten:
		return Verdict[A]{Kind: VerdictForgotten, Number: tk.Number}
	default:
		return Verdict[A]{Kind: VerdictAnswered, Number: tk.Number, Answer: us.answer}
	}
}

func (tb *Table[A]) first(tk token, body uint64) Verdict[A] {
	if tb.full(tk.Team) {
		return Verdict[A]{Kind: VerdictFull}
	}
	tb.used[tk.Number] = &use[A]{team: tk.Team, body: body}
	tb.teams[tk.Team]++
	tb.ends.push(expiry{number: tk.Number, at: tk.Expires})
	tb.compact()
	return Verdict[A]{Kind: VerdictRun, Number: tk.Number}
}

// full keeps one team from taking the whole table: a team that uses up tickets
// at a hundred times its rate must not stop those of the others.
func (tb *Table[A]) full(team string) bool {
	share := max(1, tb.cfg.Cap/teamShare)
	return len(tb.used) >= tb.cfg.Cap || tb.teams[team] >= share
}

// Finish keeps the answer of a ticket's first use. The size is in bytes; where
// there is no more room, older answers are dropped, and their tickets stay used.
func (tb *Table[A]) Finish(number uint64, answer A, size int) {
	us, ok := tb.used[number]
	if !ok || us.state != useRunning {
		// It ran on beyond its expiry; nobody may ask for it any more.
		return
	}
	if size > tb.cfg.MaxBytes {
		us.state = useForgotten
		return
	}
	us.state, us.answer, us.size = useAnswered, answer, size
	tb.bytes += size
	tb.finished = append(tb.finished, number)
	for tb.bytes > tb.cfg.MaxBytes {
		tb.dropOldest()
	}
}

func (tb *Table[A]) dropOldest() {
	number := tb.finished[0]
	tb.finished = tb.finished[1:]
	// Those that expired have given their bytes back already.
	if us, ok := tb.used[number]; ok && us.state == useAnswered {
		tb.forget(us)
	}
}

func (tb *Table[A]) forget(us *use[A]) {
	var none A
	tb.bytes -= us.size
	us.state, us.answer, us.size = useForgotten, none, 0
}

// Release takes back a first use that did certainly not run, so that the same
// ticket can be used again.
func (tb *Table[A]) Release(number uint64) {
	us, ok := tb.used[number]
	if !ok || us.state != useRunning {
		return
	}
	tb.remove(number, us)
}

// Len is the number of used tickets remembered.
func (tb *Table[A]) Len() int {
	return len(tb.used)
}

// Bytes is the size of the answers kept.
func (tb *Table[A]) Bytes() int {
	return tb.bytes
}

// expire forgets tickets that Begin would refuse as expired anyway.
func (tb *Table[A]) expire(now time.Duration) {
	for len(tb.ends) > 0 && tb.ends[0].at <= now {
		number := tb.ends.pop().number
		if us, ok := tb.used[number]; ok {
			tb.remove(number, us)
		}
	}
}

func (tb *Table[A]) remove(number uint64, us *use[A]) {
	tb.bytes -= us.size
	delete(tb.used, number)
	if tb.teams[us.team]--; tb.teams[us.team] == 0 {
		delete(tb.teams, us.team)
	}
}

// compact rebuilds the lists that still name tickets which are gone, so that a
// ticket released and used again for ever does not fill the memory.
func (tb *Table[A]) compact() {
	most := 2*len(tb.used) + listSlack
	if len(tb.ends) > most {
		seen := make(map[uint64]bool, len(tb.used))
		tb.ends.keep(func(ex expiry) bool {
			if _, ok := tb.used[ex.number]; !ok || seen[ex.number] {
				return false
			}
			seen[ex.number] = true
			return true
		})
	}
	if len(tb.finished) > most {
		tb.finished = slices.DeleteFunc(tb.finished, func(number uint64) bool {
			us, ok := tb.used[number]
			return !ok || us.state != useAnswered
		})
	}
}
