package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"time"
)

// Issuer identifies the process that issued a ticket.
type Issuer struct {
	Addr        string
	Incarnation uint64
}

// token is the content of a ticket. It is opaque to clients.
type token struct {
	Addr        string        `json:"a"`
	Incarnation uint64        `json:"i"`
	Number      uint64        `json:"n"`
	Expires     time.Duration `json:"e"`
	Team        string        `json:"t"`
	MAC         []byte        `json:"m,omitempty"`
}

// maxTokenLen is the maximum length of a token that is decoded.
const maxTokenLen = 512

func (tk token) sign(secret []byte) []byte {
	tk.MAC = nil
	raw, err := json.Marshal(tk)
	if err != nil {
		// A struct of plain fields can always be encoded.
		panic(err)
	}
	mac := hmac.New(sha256.New, secret)
	mac.Write(raw)
	return mac.Sum(nil)[:16]
}

func (tk token) encode() string {
	raw, err := json.Marshal(tk)
	if err != nil {
		panic(err)
	}
	return base64.RawURLEncoding.EncodeToString(raw)
}

func decode(text string) (token, bool) {
	if len(text) > maxTokenLen {
		return token{}, false
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil {
		return token{}, false
	}
	var tk token
	if err := json.Unmarshal(raw, &tk); err != nil {
		return token{}, false
	}
	return tk, true
}

// IssuerOf returns the issuer that a ticket names, without verifying it.
func IssuerOf(text string) (Issuer, bool) {
	tk, ok := decode(text)
	return Issuer{Addr: tk.Addr, Incarnation: tk.Incarnation}, ok && tk.Addr != ""
}
