// How RelayReducer places calls: which waits, which runs where, and when a refused one should come back.

#include "relay/RelayReducer.h"
#include "relay/ScaledDuration.h"
#include "relay/Spread.h"

#include <algorithm>

namespace crocusmount::relay {

namespace {

    /// Half of the streams in flight end within about so long.
    constexpr Duration MinExpectedShortage = std::chrono::milliseconds(1300);
    /// Callers heed a time to come back up to a third of what they have left, of 20 s on the users' platforms.
    constexpr Duration MaxExpectedShortage = std::chrono::milliseconds(4000);
    /// Parts of the expected rest of a shortage between which callers come back.
    constexpr double MinRetryAfterFactor = 0.5;
    constexpr double MaxRetryAfterFactor = 1.5;
    /// Longest time for which an answer under way does not go back to a stage that turned it away.
    constexpr Duration MaxAnswerRetryPause = std::chrono::milliseconds(500);

} // namespace

void RelayReducer::dispatchAll(Context& context)
{
    resumeInterrupted(context);
    for (auto& [service, queue] : m_services)
        dispatch(queue.waiting(), context);
}

void RelayReducer::dispatch(FairQueue& queue, Context& context)
{
    while (const auto next = queue.pop()) {
        const auto found = m_calls.find(*next);
        if (found == m_calls.end())
            continue;
        Call& call = found->second;
        if (place(call, context))
            continue;
        queue.pushFront(call.workspace, 1, -call.rank, call.id);
        return;
    }
}

bool RelayReducer::place(Call& call, Context& context)
{
    // A stream that the caller has a part of goes on in any case.
    const bool limited = !m_options.without.has(Mechanism::StreamLimit);
    if (limited && isStream(call.route->kind) && !call.hasPartialAnswer && !queueOf(call).hasRoom())
        return false;
    const AttemptPurpose purpose = call.hasFailedAttempt() ? AttemptPurpose::Retry : AttemptPurpose::First;
    auto attempt = startAttempt(call, purpose, context);
    if (!attempt)
        return false;
    if (call.hasPartialAnswer)
        ++m_counters.resumed;
    call.state = CallState::Running;
    call.main = *std::move(attempt);
    call.lastProgress = context.now;
    call.meanEventGap = Duration(0);
    return true;
}

std::optional<Attempt> RelayReducer::startAttempt(Call& call, AttemptPurpose purpose, Context& context)
{
    auto placement = m_placer.place(call, context.now, context.entropy);
    if (!placement || awaitsCheck(placement->chain, context) || isKnownFull(call, placement->chain, context.now))
        return std::nullopt;
    Attempt attempt;
    attempt.id = AttemptId(m_nextAttempt++);
    attempt.server = placement->server;
    attempt.chain = std::move(placement->chain);
    attempt.startedAt = context.now;
    m_attempts[attempt.id] = call.id;
    queueOf(call).started();
    if (attempt.chain.hops().empty())
        ++m_fleet.find(attempt.server)->ownCalls;
    else
        m_fleet.book(attempt.chain, call.tokens);
    ++m_counters.attempts;
    effect::StartAttempt start;
    start.attempt = attempt.id;
    start.call = call.id;
    start.server = attempt.server;
    start.address = placement->address;
    start.chain = attempt.chain;
    start.remaining = call.deadline - context.now;
    if (call.hasPartialAnswer || call.spec.resumeAfter)
        start.resumeAfter = call.lastEventId;
    start.route = call.route->id.value();
    start.workspace = call.workspace.value();
    start.stream = isStream(call.route->kind);
    start.purpose = purpose;
    context.effects.emplace_back(std::move(start));
    return attempt;
}

Duration RelayReducer::retryAfterFor(Reason reason, const Context& context) const
{
    const auto between = [&](std::int64_t leastMs, std::int64_t mostMs) {
        const double part = spread(context.entropy, static_cast<std::uint64_t>(reason));
        const double ms = static_cast<double>(leastMs) + part * static_cast<double>(mostMs - leastMs);
        return Duration(static_cast<std::int64_t>(ms * 1000));
    };
    switch (reason) {
    case Reason::UnknownRoute:
    case Reason::UnknownKey:
    case Reason::CrashesServers:
        return Duration(0);
    default:
        return between(200, 600);
    }
}

/// A shortage that has lasted for some time is expected to last as long again: its causes range from a burst of half a
/// second to an engine whose layers are loaded elsewhere in five. A caller comes back once or twice only, so one that
/// comes back too early is not served at all. The spread keeps the return from being a wave.
Duration RelayReducer::retryAfterShortage(ServiceQueue& queue, const Context& context) const
{
    const Duration shortage = queue.refused(context.now);
    const Duration lasted = m_options.without.has(Mechanism::ComeBackTime) ? Duration(0) : shortage;
    const Duration expected = std::clamp(lasted, MinExpectedShortage, MaxExpectedShortage);
    const double part = spread(context.entropy, static_cast<std::uint64_t>(Reason::NoCapacity));
    return scaled(expected, MinRetryAfterFactor + part * (MaxRetryAfterFactor - MinRetryAfterFactor));
}

/// This instance's share of the retries that all may make beyond the ratio.
double RelayReducer::retryBurst() const { return std::max(2.0, m_options.retrySlack / m_placer.instances()); }

double RelayReducer::retryBurstShare() const
{
    if (m_options.retryRipening.count() <= 0)
        return 1;
    const double age = std::chrono::duration<double>(m_now - m_startedAt.value_or(m_now)).count();
    return std::min(1.0, age / std::chrono::duration<double>(m_options.retryRipening).count());
}

RetryBudget& RelayReducer::budgetOf(const ServiceId& service)
{
    return m_budgets.try_emplace(service, m_options.retryRatio, retryBurst(), retryBurstShare()).first->second;
}

/// A call that a stage has just turned away goes there again only after that stage's pause: attempts at the one engine
/// that is left would spend retries for nothing. An answer under way waits less: its caller leaves within seconds.
bool RelayReducer::isKnownFull(const Call& call, const Chain& chain, TimePoint now) const
{
    return std::any_of(chain.hops().begin(), chain.hops().end(), [&](const Hop& hop) {
        const auto server = m_fleet.servers().find(hop.backend);
        const bool refusedIt = std::find(call.avoid.begin(), call.avoid.end(), hop.backend) != call.avoid.end();
        if (!refusedIt || server == m_fleet.servers().end())
            return false;
        const TimePoint until = server->second.avoidUntil;
        return now
            < (call.hasPartialAnswer ? std::min(until, server->second.turnedAwayAt + MaxAnswerRetryPause) : until);
    });
}

} // namespace crocusmount::relay
