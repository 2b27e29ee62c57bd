// How RelayReducer limits the retries of all instances together, and what it tells about it.

#include "relay/RelayReducer.h"

namespace crocusmount::relay {

namespace {

    /// Shortest time between two log lines about the retry budget of one service.
    constexpr Duration BudgetLogInterval = std::chrono::milliseconds(1000);

} // namespace

/// Applies a change of this instance's share of the retries to the budgets of all services.
void RelayReducer::updateRetryShare(Context& context)
{
    if (!m_retryShare.advance(context.now))
        return;
    for (auto& [service, budget] : m_budgets)
        budget.setShare(m_retryShare.capacity(), m_retryShare.isGranted());
    context.effects.emplace_back(effect::LogRetryShare {
        m_retryShare.capacity(), m_retryShare.isGranted(), m_retryShare.instances(), processAge(context.now) });
}

/// @return time since the first event
Duration RelayReducer::processAge(TimePoint now) const { return now - m_startedAt.value_or(now); }

/// @return the retry budget of a service, which is created on first use
RetryBudget& RelayReducer::budgetOf(const ServiceId& service)
{
    return m_budgets.try_emplace(service, m_options.retryRatio, m_retryShare.capacity(), m_retryShare.isGranted())
        .first->second;
}

/// Logs how much of the retry budget of each service was spent since the last line about it.
void RelayReducer::logRetryBudgets(Context& context)
{
    for (const auto& [service, budget] : m_budgets) {
        LoggedBudget& logged = m_loggedBudgets[service];
        if (budget.spent() == logged.spent || context.now < logged.at + BudgetLogInterval)
            continue;
        context.effects.emplace_back(effect::LogRetryBudget { service.value(), budget.spent() - logged.spent,
            budget.spent(), budget.tokens(), budget.capacity(), m_retryShare.instances(), processAge(context.now) });
        logged = { context.now, budget.spent() };
    }
}

} // namespace crocusmount::relay
