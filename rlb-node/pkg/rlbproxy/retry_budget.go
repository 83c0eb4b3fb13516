package rlbproxy

import (
	"sync"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbretrybudget"
)

// retryBudgets are the shares of the retry budget of all services.
type retryBudgets struct {
	mu        sync.Mutex
	settings  rlbretrybudget.Limits
	byService map[string]*serviceBudget
}

// serviceBudget is the share of one service.
type serviceBudget struct {
	mu    sync.Mutex
	share *rlbretrybudget.Budget
}

func newRetryBudgets(settings rlbretrybudget.Limits) *retryBudgets {
	return &retryBudgets{settings: settings, byService: map[string]*serviceBudget{}}
}

// SetRetryBudget changes the terms of the retry budget.
func (s *Server) SetRetryBudget(settings rlbretrybudget.Limits) {
	s.budgets.mu.Lock()
	defer s.budgets.mu.Unlock()
	s.budgets.settings = settings
	for _, b := range s.budgets.byService {
		b.applySettings(settings)
	}
}

func (b *retryBudgets) forService(service string) *serviceBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byService[service] == nil {
		b.byService[service] = &serviceBudget{share: rlbretrybudget.New(b.settings)}
	}
	return b.byService[service]
}

func (b *serviceBudget) applySettings(settings rlbretrybudget.Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share.SetLimits(settings)
}

func (b *serviceBudget) countRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share.RecordRequest(now)
}

func (b *serviceBudget) spend(now time.Time, instances int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.share.TrySpend(now, instances)
}

// exchangeBudget is a service's budget as an exchange sees it.
type exchangeBudget struct {
	budget *serviceBudget
	server *Server
}

// TrySpend implements rlbroute.Budget.
func (s exchangeBudget) TrySpend() bool { return s.budget.spend(s.server.Now(), s.server.Instances()) }
