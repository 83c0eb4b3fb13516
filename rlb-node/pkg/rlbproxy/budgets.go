package rlbproxy

import (
	"sync"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbbudget"
)

// budgets are the shares of the retry budget of all services.
type budgets struct {
	mu    sync.Mutex
	terms rlbbudget.Terms
	all   map[string]*budget
}

// budget is the share of one service.
type budget struct {
	mu    sync.Mutex
	share *rlbbudget.Budget
}

func newBudgets(terms rlbbudget.Terms) *budgets {
	return &budgets{terms: terms, all: map[string]*budget{}}
}

// SetBudget changes the terms of the retry budget.
func (s *Server) SetBudget(terms rlbbudget.Terms) {
	s.budgets.mu.Lock()
	defer s.budgets.mu.Unlock()
	s.budgets.terms = terms
	for _, b := range s.budgets.all {
		b.setTerms(terms)
	}
}

func (b *budgets) of(service string) *budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.all[service] == nil {
		b.all[service] = &budget{share: rlbbudget.New(b.terms)}
	}
	return b.all[service]
}

func (b *budget) setTerms(terms rlbbudget.Terms) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share.SetTerms(terms)
}

func (b *budget) request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share.Request(now)
}

func (b *budget) spend(now time.Time, instances int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.share.Spend(now, instances)
}

// spender is a service's budget as an exchange sees it.
type spender struct {
	budget *budget
	server *Server
}

// Take implements rlbroute.Budget.
func (s spender) Take() bool { return s.budget.spend(s.server.Now(), s.server.Instances()) }
