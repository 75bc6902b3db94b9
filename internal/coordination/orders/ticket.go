package orders

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"net/netip"

	"github.com/pkg/errors"
)

// Sizes of the binary ticket in bytes.
const (
	// IncarnationSize is the size of an instance incarnation.
	IncarnationSize = 16
	// MaxTeamSize is the longest team name in bytes. It keeps the text form of a ticket
	// with two IPv6 addresses below 256 characters.
	MaxTeamSize = 63

	ticketIDSize  = 16
	macSize       = sha256.Size
	ticketVersion = 1
	// maxTicketSize covers the version, two members with IPv6 addresses, the issue number,
	// the identifier, the team and the MAC.
	maxTicketSize = 1 + 2*(1+IncarnationSize+16+2) + 8 + ticketIDSize + 1 + MaxTeamSize + macSize
)

// Address families of a member in the binary ticket.
const (
	familyNone = 0
	familyIPv4 = 4
	familyIPv6 = 6
)

var (
	// ErrTicketMalformed reports a ticket that is truncated, too long or not canonical.
	ErrTicketMalformed = errors.New("order ticket is malformed")
	// ErrTicketMAC reports a ticket whose MAC matches none of the keys.
	ErrTicketMAC = errors.New("order ticket has an invalid MAC")
	// ErrTeamNameTooLong reports a team name that does not fit into a ticket.
	ErrTeamNameTooLong = errors.New("team name does not fit into an order ticket")
	// ErrNoKeys reports a keyring without keys.
	ErrNoKeys = errors.New("keyring has no keys")
	// ErrLedgerClosed reports a ledger that has been closed for a graceful shutdown.
	ErrLedgerClosed = errors.New("ledger is closed")
	// ErrInvalidMember reports a member without an incarnation or a usable address.
	ErrInvalidMember = errors.New("member needs an incarnation and an address without a zone")
)

// Incarnation identifies one process lifetime of an instance. It is drawn at random at
// process start and never reused.
type Incarnation [IncarnationSize]byte

// String returns the incarnation in hexadecimal.
func (i Incarnation) String() string { return hex.EncodeToString(i[:]) }

// Member is one incarnation of an instance and its peer address. The zero value stands
// for no member.
type Member struct {
	Incarnation Incarnation
	Address     netip.AddrPort
}

// IsZero reports whether m stands for no member.
func (m Member) IsZero() bool { return m == Member{} }

func (m Member) valid() bool {
	a := m.Address.Addr()
	return m.Incarnation != Incarnation{} && a.IsValid() && a.Zone() == "" && !a.Is4In6()
}

// TicketID is the random identifier of a ticket.
type TicketID [ticketIDSize]byte

// String returns the identifier in hexadecimal.
func (id TicketID) String() string { return hex.EncodeToString(id[:]) }

func (id TicketID) shard() int { return int(id[0] % shardCount) }

// Ticket authorizes one non-idempotent order. A Ticket returned by Parse or Issue is
// authentic; a Ticket constructed in any other way is not.
type Ticket struct {
	ID      TicketID
	Owner   Member
	Witness Member // the instance that records the intent; zero when the owner had no peers
	// Number counts the tickets that the owner issued in the shard of ID, from 0.
	Number uint64
	Team   string
	MAC    [macSize]byte
}

// BodyHash identifies the body of an order: the first 16 bytes of its SHA-256. The zero
// value stands for an unknown body.
type BodyHash [16]byte

// HashBody returns the hash of an order body.
func HashBody(body []byte) BodyHash {
	sum := sha256.Sum256(body)
	return BodyHash(sum[:len(BodyHash{})])
}

// Keyring holds the keys shared by the peers. The first key signs and all keys verify, so
// that keys can be rotated. It is immutable and safe for concurrent use.
type Keyring struct{ keys [][]byte }

// NewKeyring returns a keyring of the given keys, the signing key first.
func NewKeyring(keys ...[]byte) (Keyring, error) {
	if len(keys) == 0 {
		return Keyring{}, errors.WithStack(ErrNoKeys)
	}
	k := Keyring{keys: make([][]byte, len(keys))}
	for i, key := range keys {
		if len(key) == 0 {
			return Keyring{}, errors.Wrapf(ErrNoKeys, "key %d is empty", i)
		}
		k.keys[i] = append([]byte(nil), key...)
	}
	return k, nil
}

// macContext provides domain separation between ticket MACs and other uses of the keys.
const macContext = "yuccabridge order ticket\x00"

func computeMAC(key, payload []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(macContext))
	h.Write(payload)
	return h.Sum(nil)
}

func (k Keyring) sign(t *Ticket) {
	t.MAC = [macSize]byte(computeMAC(k.keys[0], t.payload()))
}

func (k Keyring) verify(payload, sum []byte) bool {
	ok := false
	for _, key := range k.keys {
		ok = hmac.Equal(computeMAC(key, payload), sum) || ok
	}
	return ok
}

// AppendBinary appends the binary form of t to b.
func (t Ticket) AppendBinary(b []byte) ([]byte, error) {
	return append(append(b, t.payload()...), t.MAC[:]...), nil
}

// MarshalBinary returns the binary form of t.
func (t Ticket) MarshalBinary() ([]byte, error) { return t.AppendBinary(nil) }

// String returns the text form of t: unpadded base64url of the binary form.
func (t Ticket) String() string {
	b, _ := t.AppendBinary(make([]byte, 0, maxTicketSize))
	return base64.RawURLEncoding.EncodeToString(b)
}

func (t Ticket) payload() []byte {
	b := make([]byte, 0, maxTicketSize)
	b = append(b, ticketVersion)
	b = appendMember(b, t.Owner)
	b = appendMember(b, t.Witness)
	b = binary.BigEndian.AppendUint64(b, t.Number)
	b = append(b, t.ID[:]...)
	b = append(b, byte(len(t.Team)))
	return append(b, t.Team...)
}

func appendMember(b []byte, m Member) []byte {
	if m.IsZero() {
		return append(b, familyNone)
	}
	family := byte(familyIPv6)
	if m.Address.Addr().Is4() {
		family = familyIPv4
	}
	b = append(b, family)
	b = append(b, m.Incarnation[:]...)
	b = append(b, m.Address.Addr().AsSlice()...)
	return binary.BigEndian.AppendUint16(b, m.Address.Port())
}

// ParseText parses and authenticates the text form of a ticket.
func (k Keyring) ParseText(text string) (Ticket, error) {
	if len(text) > base64.RawURLEncoding.EncodedLen(maxTicketSize) {
		return Ticket{}, errors.WithStack(ErrTicketMalformed)
	}
	b, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || base64.RawURLEncoding.EncodedLen(len(b)) != len(text) {
		return Ticket{}, errors.WithStack(ErrTicketMalformed)
	}
	return k.Parse(b)
}

// Parse parses and authenticates the binary form of a ticket.
func (k Keyring) Parse(b []byte) (Ticket, error) {
	if len(b) <= macSize || len(b) > maxTicketSize {
		return Ticket{}, errors.WithStack(ErrTicketMalformed)
	}
	payload, sum := b[:len(b)-macSize], b[len(b)-macSize:]
	if !k.verify(payload, sum) {
		return Ticket{}, errors.WithStack(ErrTicketMAC)
	}
	r := fieldReader{remaining: payload}
	version := r.readByte()
	t := Ticket{Owner: r.readMember(), Witness: r.readMember(), MAC: [macSize]byte(sum)}
	t.Number = binary.BigEndian.Uint64(r.next(8))
	t.ID = TicketID(r.next(ticketIDSize))
	t.Team = string(r.next(int(r.readByte())))
	if r.failed || len(r.remaining) != 0 || version != ticketVersion || t.Owner.IsZero() || len(t.Team) > MaxTeamSize {
		return Ticket{}, errors.WithStack(ErrTicketMalformed)
	}
	return t, nil
}

// fieldReader reads consecutive fields from a byte slice. A read beyond the end sets failed
// and returns zeros.
type fieldReader struct {
	remaining []byte
	failed    bool
}

func (r *fieldReader) next(n int) []byte {
	if r.failed || len(r.remaining) < n {
		r.failed = true
		return make([]byte, n)
	}
	field := r.remaining[:n]
	r.remaining = r.remaining[n:]
	return field
}

func (r *fieldReader) readByte() byte { return r.next(1)[0] }

func (r *fieldReader) readMember() Member {
	size := 0
	switch r.readByte() {
	case familyNone:
		return Member{}
	case familyIPv4:
		size = 4
	case familyIPv6:
		size = 16
	default:
		r.failed = true
		return Member{}
	}
	m := Member{Incarnation: Incarnation(r.next(IncarnationSize))}
	addr, _ := netip.AddrFromSlice(r.next(size))
	m.Address = netip.AddrPortFrom(addr, binary.BigEndian.Uint16(r.next(2)))
	r.failed = r.failed || !m.valid()
	return m
}
