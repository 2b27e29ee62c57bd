// How RelayReducer limits the retries of all instances together, and what it tells about it.

#include "relay/RelayReducer.h"

#include <algorithm>

namespace crocusmount::relay {

namespace {

    /// Shortest time between two log lines about the retry budget of one service.
    constexpr Duration BudgetLogInterval = std::chrono::milliseconds(1000);

} // namespace

/// @return this instance's share of the retries that all instances may make beyond the retry ratio
double RelayReducer::retryBurst() const { return std::max(1.0, m_options.retrySlack / m_placer.instances()); }

/// @return the share of the retry burst, from 0 to 1, that is granted at the present age of the process
double RelayReducer::retryBurstShare() const
{
    if (m_options.retryBurstRampUp.count() <= 0)
        return 1;
    const double age = std::chrono::duration<double>(m_now - m_startedAt.value_or(m_now)).count();
    return std::min(1.0, age / std::chrono::duration<double>(m_options.retryBurstRampUp).count());
}

/// @return the retry budget of a service, which is created on first use
RetryBudget& RelayReducer::budgetOf(const ServiceId& service)
{
    return m_budgets.try_emplace(service, m_options.retryRatio, retryBurst(), retryBurstShare()).first->second;
}

/// Logs how much of the retry budget of each service was spent since the last line about it.
void RelayReducer::logRetryBudgets(Context& context)
{
    for (const auto& [service, budget] : m_budgets) {
        LoggedBudget& logged = m_loggedBudgets[service];
        if (budget.spent() == logged.spent || context.now < logged.at + BudgetLogInterval)
            continue;
        context.effects.emplace_back(effect::LogRetryBudget { service.value(), budget.spent() - logged.spent,
            budget.spent(), budget.tokens(), budget.capacity(), m_placer.instances(),
            context.now - m_startedAt.value_or(context.now) });
        logged = { context.now, budget.spent() };
    }
}

} // namespace crocusmount::relay
