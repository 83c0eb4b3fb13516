package rlbproxy

import (
	"sync"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbretrybudget"
)

// retryBudgets holds this instance's share of the retry budget of each service.
type retryBudgets struct {
	mu        sync.Mutex
	limits    rlbretrybudget.Limits
	byService map[string]*serviceBudget
}

// serviceBudget is this instance's share of the retry budget of one service.
type serviceBudget struct {
	mu    sync.Mutex
	share *rlbretrybudget.Budget
}

func newRetryBudgets(limits rlbretrybudget.Limits) *retryBudgets {
	return &retryBudgets{limits: limits, byService: map[string]*serviceBudget{}}
}

// SetRetryBudget changes the limits of the retry budgets of all services.
func (s *Server) SetRetryBudget(limits rlbretrybudget.Limits) {
	s.budgets.mu.Lock()
	defer s.budgets.mu.Unlock()
	s.budgets.limits = limits
	for _, b := range s.budgets.byService {
		b.setLimits(limits)
	}
}

func (b *retryBudgets) forService(service string) *serviceBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byService[service] == nil {
		b.byService[service] = &serviceBudget{share: rlbretrybudget.New(b.limits)}
	}
	return b.byService[service]
}

func (b *serviceBudget) setLimits(limits rlbretrybudget.Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share.SetLimits(limits)
}

func (b *serviceBudget) recordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share.RecordRequest(now)
}

func (b *serviceBudget) trySpend(now time.Time, instances int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.share.TrySpend(now, instances)
}

// exchangeBudget adapts the retry budget of a service to rlbroute.Budget.
type exchangeBudget struct {
	budget *serviceBudget
	server *Server
}

// TrySpend implements rlbroute.Budget.
func (s exchangeBudget) TrySpend() bool {
	return s.budget.trySpend(s.server.Now(), s.server.Instances())
}
