package lender

import (
	"fmt"

	"godwitramp.example/core/lender"
	"godwitramp.example/core/limiter"
)

// Service answers the calls of other VMs.
type Service struct {
	lender *Lender
}

// BorrowRequest contains the asks to one collector, for all its organisations.
type BorrowRequest struct {
	// Borrower is the incarnation of the VM that asks.
	Borrower string
	Asks     []limiter.Ask
}

// BorrowReply answers a BorrowRequest.
type BorrowReply struct {
	// Collector is the incarnation of the VM that answers.
	Collector string
	Grants    []limiter.Grant
	// Empty is true if the collector has nothing to lend, because no holder
	// offers to it yet or any more.
	Empty bool
}

// OfferRequest contains the offers to one collector, for all its shards.
type OfferRequest struct {
	// Holder is the incarnation of the VM that offers.
	Holder string
	// Collector is the incarnation that the offers are meant for.
	Collector string
	Offers    []lender.Offer
}

// Borrow lends tokens to another VM.
func (service *Service) Borrow(request *BorrowRequest, reply *BorrowReply) error {
	lent := service.lender
	lent.lendMutex.Lock()
	defer lent.lendMutex.Unlock()
	reply.Collector = lent.collector.Incarnation
	now := lent.Now()
	reply.Grants = lent.collector.Lend(request.Borrower, request.Asks, now)
	reply.Empty = lent.collector.Empty(request.Asks, now)
	return nil
}

// Offer accepts or rejects the parts that another VM offers.
func (service *Service) Offer(request *OfferRequest, reply *lender.OfferReply) error {
	lent := service.lender
	lent.lendMutex.Lock()
	defer lent.lendMutex.Unlock()
	*reply = lent.collector.HandleOffers(request.Holder, request.Collector, request.Offers, lent.Now())
	return nil
}

// callLocal answers a call of this VM to itself.
func (service *Service) callLocal(args, reply any) error {
	switch args := args.(type) {
	case *BorrowRequest:
		return service.Borrow(args, reply.(*BorrowReply))
	case *OfferRequest:
		return service.Offer(args, reply.(*lender.OfferReply))
	default:
		return fmt.Errorf("call with %T: no such method", args)
	}
}
