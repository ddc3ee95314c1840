package emul

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"laburnumvane/io/wire"
)

const (
	sampleSeedStream = 0x6d656d62 // separates the sample's random stream from other uses of a seed
	sampleMaxDays    = 3650
	sampleMaxWash    = 400
	plateLetters     = "ABCDEFGHJKLMNPRSTVWXYZ"
	plateDigits      = 1000
	sampleDateForm   = "2006-01-02"
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

// SampleRegister returns a register of car-wash members. The same seed and count give the same
// members. Ids start at m000000, and plates are unique up to about ten million members.
func SampleRegister(name string, seed uint64, count int) (*Register, error) {
	rg := NewRegister(name)
	rd := rand.New(rand.NewPCG(seed, sampleSeedStream))
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

// plate formats a number as a plate of three letters and three digits. The first letter changes
// with each number, so that consecutive plates do not look alike.
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

// PlateLookups returns a RequestMaker that searches by plate for random single members of a
// sample register with the given number of members.
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
