#include "relay/RunTimes.h"

#include <set>

namespace crocusmount::relay {

namespace {

    /// Weights of the latest call, as in RFC 6298.
    constexpr int MeanDivisor = 8;
    constexpr int DeviationDivisor = 4;
    constexpr int DeviationsAboveMean = 2;

} // namespace

void RunTimes::record(const RouteId& route, Duration time)
{
    const auto [known, isNew] = m_estimates.try_emplace(route, Estimate { time, time / 2 });
    if (isNew)
        return;
    Estimate& estimate = known->second;
    const Duration difference = time - estimate.mean;
    const Duration distance = std::max(difference, -difference);
    estimate.deviation += (distance - estimate.deviation) / DeviationDivisor;
    estimate.mean += difference / MeanDivisor;
}

void RunTimes::forgetOthersThan(const std::vector<Route>& routes)
{
    std::set<RouteId> kept;
    for (const Route& route : routes)
        kept.insert(route.id);
    std::erase_if(m_estimates, [&](const auto& each) { return !kept.count(each.first); });
}

std::optional<Duration> RunTimes::mean(const RouteId& route) const
{
    const auto known = m_estimates.find(route);
    return known == m_estimates.end() ? std::nullopt : std::optional(known->second.mean);
}

std::optional<Duration> RunTimes::upperBound(const RouteId& route) const
{
    const auto known = m_estimates.find(route);
    if (known == m_estimates.end())
        return std::nullopt;
    return known->second.mean + DeviationsAboveMean * known->second.deviation;
}

} // namespace crocusmount::relay
