package messenger

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

// surveyTable is the table of a claim that makes a hello a question about the configuration, and
// that comes back in the answer. Its Version is the time at which the question was sent, on the
// clock of its sender. In the answer, its StoreTime is how long ago InForce was known to be the
// newest, 0 if that isn't known. Earlier versions ignore it, and answer the hello without it.
const surveyTable = "//survey"

// AskFleet asks VMs which configuration they have in force: a random one of the group, and if far is
// true one of each other data centre. It returns how many other data centres there are, and whether
// this VM knows no other VM at all.
func (messenger *Messenger) AskFleet(far bool) (dataCentres int, alone bool) {
	messenger.mutex.Lock()
	dataCentres, alone = len(messenger.contacts), len(messenger.contacts)+len(messenger.peers) == 0
	var addresses []netip.AddrPort
	if len(messenger.group) > 0 {
		addresses = append(addresses, messenger.group[rand.IntN(len(messenger.group))].address)
	}
	messenger.mutex.Unlock()
	message := messenger.newMessage(true, nil)
	messenger.addInForce(&message)
	message.Claims = append(message.Claims, Claim{Table: surveyTable, Version: uint64(messenger.Clock())})
	if far {
		addresses = append(addresses, messenger.contactAddresses()...)
	}
	messenger.sendAll(addresses, message)
	return dataCentres, alone
}

// addInForce adds a claim that says what this VM has in force, and returns it.
func (messenger *Messenger) addInForce(message *message) Claim {
	if messenger.InForce == nil {
		return Claim{}
	}
	message.StoreUnreachable, message.Era = messenger.StoreUnreachable(), messenger.restoredEra()
	claim, ok := messenger.InForce()
	if ok {
		message.Claims = append(message.Claims, claim)
	}
	return claim
}

// answerSurvey tells a VM what this one has in force.
func (messenger *Messenger) answerSurvey(to Peer, survey Claim) {
	message := messenger.newMessage(false, nil)
	claim := messenger.addInForce(&message)
	survey.StoreTime = 0
	if claim.KnownAsOf != 0 {
		survey.StoreTime = max(1, messenger.Clock()-claim.KnownAsOf)
	}
	message.Claims = append(message.Claims, survey)
	messenger.send(to.Address, message)
}

// takeSurvey returns the claim of a question or an answer, nil if there is none, and the others.
func takeSurvey(claims []Claim) (survey *Claim, others []Claim) {
	for i, claim := range claims {
		if claim.Table == surveyTable {
			survey = &claims[i]
			continue
		}
		others = append(others, claim)
	}
	return survey, others
}

// completeAnswer sets what the answer to a question of this VM says of the claims in it. The other
// VM looked at its clock after this VM had asked, however late the answer is read.
func (messenger *Messenger) completeAnswer(survey Claim, claims []Claim) {
	askedAt := time.Duration(survey.Version)
	if askedAt <= 0 || askedAt > messenger.Clock() || survey.StoreTime < 0 {
		return // no question of this VM
	}
	for i := range claims {
		claims[i].AskedAt = askedAt
		if survey.StoreTime > 0 {
			claims[i].KnownAsOf = askedAt - survey.StoreTime
		}
	}
}

// handleFarClaims processes the claims of a VM of another data centre: of what it has in force
// only. A message that says nothing is the answer of a VM that can't tell, as of an earlier version.
func (messenger *Messenger) handleFarClaims(message message) {
	if messenger.OnClaim == nil {
		return
	}
	for _, claim := range message.Claims {
		messenger.OnClaim(Claim{
			Table: claim.Table, DataCentre: message.DataCentre, InForce: claim.InForce, InForceEra: claim.InForceEra,
			KnownAsOf: claim.KnownAsOf, AskedAt: claim.AskedAt,
		})
	}
	if message.isPlain() {
		messenger.OnClaim(Claim{DataCentre: message.DataCentre})
	}
}
