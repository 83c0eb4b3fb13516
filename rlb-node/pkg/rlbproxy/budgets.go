package rlbproxy

import (
	"sync"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbretrybudget"
)

// budgets are the shares of the retry budget of all services.
type budgets struct {
	mu    sync.Mutex
	terms rlbretrybudget.Limits
	all   map[string]*budget
}

// budget is the share of one service.
type budget struct {
	mu    sync.Mutex
	share *rlbretrybudget.Budget
}

func newBudgets(terms rlbretrybudget.Limits) *budgets {
	return &budgets{terms: terms, all: map[string]*budget{}}
}

// SetBudget changes the terms of the retry budget.
func (s *Server) SetBudget(terms rlbretrybudget.Limits) {
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
		b.all[service] = &budget{share: rlbretrybudget.New(b.terms)}
	}
	return b.all[service]
}

func (b *budget) setTerms(terms rlbretrybudget.Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share.SetLimits(terms)
}

func (b *budget) request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share.RecordRequest(now)
}

func (b *budget) spend(now time.Time, instances int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.share.TrySpend(now, instances)
}

// spender is a service's budget as an exchange sees it.
type spender struct {
	budget *budget
	server *Server
}

// TrySpend implements rlbroute.Budget.
func (s spender) TrySpend() bool { return s.budget.spend(s.server.Now(), s.server.Instances()) }
