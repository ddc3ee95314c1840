package emul

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"laburnumvane/io/wire"
)

const (
	sampleStream   = 0x6d656d62 // keeps the sample apart from other uses of a seed
	sampleMaxDays  = 3650
	sampleMaxWash  = 400
	plateLetters   = "ABCDEFGHJKLMNPRSTVWXYZ"
	plateDigits    = 1000
	sampleDateForm = "2006-01-02"
)

// sampleMember is one object of a sample register.
type sampleMember struct {
	Member string `json:"member"`
	Plate  string `json:"plate"`
	Name   string `json:"name"`
	Plan   string `json:"plan"`
	Since  string `json:"since"`
	Washes int    `json:"washes"`
}

// SampleRegister makes a register of car-wash members. The same seed and count
// give the same members; ids run from m000000 on and plates are unique up to
// some ten million members.
func SampleRegister(name string, seed uint64, count int) (*Register, error) {
	rg := NewRegister(name)
	rd := rand.New(rand.NewPCG(seed, sampleStream))
	for i := range count {
		raw, err := json.Marshal(sample(rd, i))
		if err != nil {
			return nil, newError("SampleRegister", KindFormat, err)
		}
		if err := rg.Put(raw); err != nil {
			return nil, err
		}
	}
	return rg, nil
}

func sample(rd *rand.Rand, i int) sampleMember {
	firsts := []string{"Ada", "Bruno", "Carla", "Dev", "Elif", "Femi", "Greta", "Hugo", "Ines", "Jonas"}
	lasts := []string{"Abbot", "Brook", "Castell", "Dunne", "Ekholm", "Farrow", "Gale", "Hartog", "Imrie", "Joyce"}
	plans := []string{"basic", "plus", "unlimited"}
	start := time.Date(2015, time.January, 1, 0, 0, 0, 0, time.UTC)
	return sampleMember{
		Member: fmt.Sprintf("m%06d", i),
		Plate:  plate(i),
		Name:   firsts[rd.IntN(len(firsts))] + " " + lasts[rd.IntN(len(lasts))],
		Plan:   plans[rd.IntN(len(plans))],
		Since:  start.AddDate(0, 0, rd.IntN(sampleMaxDays)).Format(sampleDateForm),
		Washes: rd.IntN(sampleMaxWash),
	}
}

// plate spells a number as three letters and three digits. The first letters
// turn fastest, so that neighbours do not look alike.
func plate(i int) string {
	num := i % plateDigits
	rest := i / plateDigits
	ls := make([]byte, 3)
	for j := range ls {
		ls[j] = plateLetters[(rest+num)%len(plateLetters)]
		rest /= len(plateLetters)
	}
	return fmt.Sprintf("%s-%03d", ls, num)
}

// PlateLookups makes searches for single members of a sample register of so
// many members, by plate.
func PlateLookups(team, search string, members int) RequestMaker {
	return func(rd *rand.Rand, _ int) wire.SearchRequest {
		return wire.SearchRequest{
			Team:   team,
			Search: search,
			Query:  json.RawMessage(fmt.Sprintf(`{"plate":%q}`, plate(rd.IntN(members)))),
			Repeat: wire.RepeatSafe,
		}
	}
}
