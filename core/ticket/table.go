package ticket

import (
	"crypto/hmac"
	"slices"
	"time"
)

// Defaults of a Config.
const (
	// DefaultMaxBytes bounds the total size of the kept answers.
	DefaultMaxBytes = 16 << 20
	// One team may use 1/teamDivisor of the table.
	teamDivisor = 2
	// listSlack is how many entries of removed tickets the auxiliary lists may hold, in addition
	// to as many as there are used tickets.
	listSlack = 64
)

// Config holds the parameters of a Table. All fields but Shared and MaxBytes are required.
type Config struct {
	// Addr and Incarnation identify this process to other VMs.
	Addr        string
	Incarnation uint64
	// Secret signs tickets. It must not change while the process runs.
	Secret []byte
	// Shared is set if all VMs have the same Secret, so that each can verify the tickets of
	// others before it asks their issuer.
	Shared bool
	// TTL is how long a ticket may be used after it was issued.
	TTL time.Duration
	// Cap is the maximum number of used tickets. One team may have at most half of it.
	Cap int
	// MaxBytes bounds the kept answers, by the sizes passed to Finish; 0 is DefaultMaxBytes.
	MaxBytes int
}

// VerdictKind is the kind of a Verdict.
type VerdictKind uint8

// Verdicts.
const (
	// VerdictRun: first use; run the request, then call Finish or Release.
	VerdictRun VerdictKind = iota + 1
	// VerdictWait: the first use is still running.
	VerdictWait
	// VerdictAnswered: Answer holds the answer of the first use.
	VerdictAnswered
	// VerdictForgotten: the request ran, and its answer was dropped to save memory.
	VerdictForgotten
	// VerdictUnverified: by its address the ticket is another VM's, but it is not signed with the
	// shared secret. It is forged, or was signed with another secret: while secrets are being
	// rotated, an earlier use may have run.
	VerdictUnverified
	// VerdictElsewhere: the request has to be forwarded to Issuer.
	VerdictElsewhere
	// VerdictEarlierProcess: issued by an earlier process at this address.
	VerdictEarlierProcess
	// VerdictExpired: the ticket expired; an earlier use may have run.
	VerdictExpired
	// VerdictForged: not a ticket of any VM, or modified.
	VerdictForged
	// VerdictOtherTeam: issued to another team.
	VerdictOtherTeam
	// VerdictOtherBody: used before with a different request.
	VerdictOtherBody
	// VerdictFull: there is no capacity to record the use; the request did not run.
	VerdictFull
)

// Verdict is the decision on a request that carries a ticket.
type Verdict[A any] struct {
	Kind   VerdictKind
	Number uint64
	Answer A
	Issuer Issuer
}

// Table records the tickets that were used.
type Table[A any] struct {
	cfg    Config
	issued uint64
	used   map[uint64]*ticketUse[A]
	teams  map[string]int
	// byExpiry orders the used tickets by expiry, since they may be used in another order than
	// they were issued.
	byExpiry expiryQueue
	// finished lists the tickets with a kept answer, oldest first.
	finished []uint64
	bytes    int
}

type ticketUse[A any] struct {
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

// New returns an empty table.
func New[A any](cfg Config) *Table[A] {
	if cfg.MaxBytes == 0 {
		cfg.MaxBytes = DefaultMaxBytes
	}
	return &Table[A]{cfg: cfg, used: make(map[uint64]*ticketUse[A]), teams: make(map[string]int)}
}

// Issue returns a new ticket for a team. It takes no memory until it is used.
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

// Begin returns the verdict on a request that carries a ticket. Body is a hash of the request.
func (tb *Table[A]) Begin(now time.Duration, text, team string, body uint64) Verdict[A] {
	tb.expire(now)
	tk, ok := decode(text)
	if !ok || tk.Addr == "" {
		return Verdict[A]{Kind: VerdictForged}
	}
	if tk.Addr != tb.cfg.Addr {
		// Without this check, a forged ticket could make this VM send a request to any address.
		if tb.cfg.Shared && !hmac.Equal(tk.MAC, tk.sign(tb.cfg.Secret)) {
			return Verdict[A]{Kind: VerdictUnverified}
		}
		return Verdict[A]{Kind: VerdictElsewhere, Issuer: Issuer{Addr: tk.Addr, Incarnation: tk.Incarnation}}
	}
	if tk.Incarnation != tb.cfg.Incarnation {
		return Verdict[A]{Kind: VerdictEarlierProcess}
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
	return tb.beginVerified(tk, body)
}

// beginVerified returns the verdict on a ticket that this process issued for the team.
func (tb *Table[A]) beginVerified(tk token, body uint64) Verdict[A] {
	us, ok := tb.used[tk.Number]
	if !ok {
		return tb.firstUse(tk, body)
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

// firstUse records the first use of a ticket.
func (tb *Table[A]) firstUse(tk token, body uint64) Verdict[A] {
	if tb.full(tk.Team) {
		return Verdict[A]{Kind: VerdictFull}
	}
	tb.used[tk.Number] = &ticketUse[A]{team: tk.Team, body: body}
	tb.teams[tk.Team]++
	tb.byExpiry.push(expiry{number: tk.Number, at: tk.Expires})
	tb.compact()
	return Verdict[A]{Kind: VerdictRun, Number: tk.Number}
}

// full also limits each team's share of the table: a team that uses tickets at a hundred times
// its usual rate must not block the other teams.
func (tb *Table[A]) full(team string) bool {
	perTeam := max(1, tb.cfg.Cap/teamDivisor)
	return len(tb.used) >= tb.cfg.Cap || tb.teams[team] >= perTeam
}

// Finish records the answer to a ticket's first use. Size is in bytes. If the answers exceed
// MaxBytes, the oldest are dropped, and their tickets stay used.
func (tb *Table[A]) Finish(number uint64, answer A, size int) {
	us, ok := tb.used[number]
	if !ok || us.state != useRunning {
		// The run finished after the ticket expired; it cannot be asked for any more.
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
		tb.dropOldestAnswer()
	}
}

func (tb *Table[A]) dropOldestAnswer() {
	number := tb.finished[0]
	tb.finished = tb.finished[1:]
	// The bytes of expired tickets were subtracted already.
	if us, ok := tb.used[number]; ok && us.state == useAnswered {
		tb.dropAnswer(us)
	}
}

func (tb *Table[A]) dropAnswer(us *ticketUse[A]) {
	var none A
	tb.bytes -= us.size
	us.state, us.answer, us.size = useForgotten, none, 0
}

// Release undoes a first use that certainly did not run, so that the ticket can be used again.
func (tb *Table[A]) Release(number uint64) {
	us, ok := tb.used[number]
	if !ok || us.state != useRunning {
		return
	}
	tb.remove(number, us)
}

// Len returns the number of used tickets.
func (tb *Table[A]) Len() int {
	return len(tb.used)
}

// Bytes returns the total size of the kept answers.
func (tb *Table[A]) Bytes() int {
	return tb.bytes
}

// expire removes tickets that Begin would refuse as expired anyway.
func (tb *Table[A]) expire(now time.Duration) {
	for len(tb.byExpiry) > 0 && tb.byExpiry[0].at <= now {
		number := tb.byExpiry.pop().number
		if us, ok := tb.used[number]; ok {
			tb.remove(number, us)
		}
	}
}

func (tb *Table[A]) remove(number uint64, us *ticketUse[A]) {
	tb.bytes -= us.size
	delete(tb.used, number)
	if tb.teams[us.team]--; tb.teams[us.team] == 0 {
		delete(tb.teams, us.team)
	}
}

// compact removes entries of removed tickets from the auxiliary lists, so that a ticket that is
// released and used again repeatedly does not fill the memory.
func (tb *Table[A]) compact() {
	limit := 2*len(tb.used) + listSlack
	if len(tb.byExpiry) > limit {
		seen := make(map[uint64]bool, len(tb.used))
		tb.byExpiry.retain(func(ex expiry) bool {
			if _, ok := tb.used[ex.number]; !ok || seen[ex.number] {
				return false
			}
			seen[ex.number] = true
			return true
		})
	}
	if len(tb.finished) > limit {
		tb.finished = slices.DeleteFunc(tb.finished, func(number uint64) bool {
			us, ok := tb.used[number]
			return !ok || us.state != useAnswered
		})
	}
}
