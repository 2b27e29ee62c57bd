// How RelayReducer queues and places calls, and when refused callers should retry.

#include "relay/RelayReducer.h"
#include "relay/ScaledDuration.h"
#include "relay/Spread.h"

#include <algorithm>

namespace crocusmount::relay {

namespace {

    /// Shortest expected rest of a shortage. About half of the streams in flight end within this time.
    constexpr Duration MinExpectedShortage = std::chrono::milliseconds(1300);
    /// Longest expected rest of a shortage. Callers ignore a Retry-After of more than a third of their remaining time,
    /// which is 20 s at first on the users' platforms.
    constexpr Duration MaxExpectedShortage = std::chrono::milliseconds(4000);
    /// Retry-After times are spread between these multiples of the expected rest of a shortage.
    constexpr double MinRetryAfterFactor = 0.5;
    constexpr double MaxRetryAfterFactor = 1.5;
    /// Retry-After times after a backoff are spread up to this share of its rest.
    constexpr double MaxBackoffSpread = 0.5;
    constexpr Duration MinRetryAfterBackoff = std::chrono::milliseconds(200);
    /// Longest time for which a partly delivered answer avoids a stage that rejected it.
    constexpr Duration MaxAnswerRetryPause = std::chrono::milliseconds(500);

} // namespace

/// Places what can be placed. Interrupted answers come before the queues.
void RelayReducer::dispatchAll(Context& context)
{
    resumeInterrupted(context);
    for (auto& [service, queue] : m_services)
        dispatch(queue.waiting(), context);
}

/// Places the calls of a queue in order, up to the first one without capacity.
void RelayReducer::dispatch(FairQueue& queue, Context& context)
{
    while (const auto next = queue.pop()) {
        const auto found = m_calls.find(*next);
        if (found == m_calls.end())
            continue;
        Call& call = found->second;
        if (place(call, context))
            continue;
        if (call.awaitsTrial) {
            holdCall(call, context);
            continue;
        }
        queue.pushFront(call.workspace, 1, -call.rank, call.id);
        return;
    }
}

/// Starts the main attempt of a waiting call.
/// @return false if the call has to wait for capacity
bool RelayReducer::place(Call& call, Context& context)
{
    // The concurrency limit does not apply to partly delivered streams.
    const bool isLimited = !m_options.without.has(Mechanism::StreamLimit);
    if (isLimited && isStream(call.route->kind) && !call.hasPartialAnswer && !queueOf(call).hasRoom())
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

/// Chooses servers for an attempt, books their capacity and emits StartAttempt.
/// @return the attempt, or nothing if no server has capacity, a stage is being checked, or the call has to wait for a
///         trial
std::optional<Attempt> RelayReducer::startAttempt(Call& call, AttemptPurpose purpose, Context& context)
{
    if (isCutOff())
        return std::nullopt;
    call.awaitsTrial = false;
    requestPermits(call, context);
    auto placement = m_placer.place(call, context.now, context.entropy);
    if (!placement || awaitsCheck(placement->chain, context) || isKnownFull(call, placement->chain, context.now))
        return std::nullopt;
    call.awaitsTrial = doubtfulTraitCount(call) && !call.isTrial;
    if (call.awaitsTrial)
        return std::nullopt;
    call.isTrial = false;
    Attempt attempt;
    attempt.id = AttemptId(m_nextAttempt++);
    attempt.server = placement->server;
    attempt.chain = std::move(placement->chain);
    attempt.startedAt = context.now;
    attempt.serverStart = m_fleet.find(attempt.server)->entry.startedAt;
    m_attempts[attempt.id] = call.id;
    queueOf(call).started();
    FleetServer& server = *m_fleet.find(attempt.server);
    server.backoff.attemptStarted(context.now);
    if (server.limit.isNamed())
        server.permits.take();
    if (attempt.chain.hops().empty())
        ++server.ownCalls;
    else
        m_fleet.book(attempt.chain, call.tokens);
    ++m_counters.attempts;
    call.holdsRetryToken = false;
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
    start.serverStart = server.entry.startedAt;
    start.startedAt = context.now;
    context.effects.emplace_back(std::move(start));
    return attempt;
}

/// @return when the caller should retry after a refusal that is not due to a shortage; zero if a retry is useless
Duration RelayReducer::retryAfterFor(Reason reason, const Context& context) const
{
    const auto between = [&](std::int64_t minMs, std::int64_t maxMs) {
        const double fraction = uniformFraction(context.entropy, static_cast<std::uint64_t>(reason));
        const double ms = static_cast<double>(minMs) + fraction * static_cast<double>(maxMs - minMs);
        return Duration(static_cast<std::int64_t>(ms * 1000));
    };
    switch (reason) {
    case Reason::UnknownRoute:
    case Reason::UnknownKey:
    case Reason::CrashesServers:
        return Duration(0);
    case Reason::NoPathToServers:
        // Other instances can serve the caller now.
        return between(20, 100);
    default:
        return between(200, 600);
    }
}

/// Notes a refusal for lack of capacity and returns when the caller should retry.
///
/// A shortage is expected to last for as long again as it has lasted, because its causes range from a burst of half a
/// second to an engine whose layers take five seconds to load elsewhere. Callers retry only once or twice, so one that
/// retries too early is not served at all. The times are spread so that callers do not return all at once.
Duration RelayReducer::retryAfterShortage(ServiceQueue& queue, const Context& context) const
{
    const Duration shortage = queue.refused(context.now);
    const Duration lasted = m_options.without.has(Mechanism::ComeBackTime) ? Duration(0) : shortage;
    const Duration expected = std::clamp(lasted, MinExpectedShortage, MaxExpectedShortage);
    const double fraction = uniformFraction(context.entropy, static_cast<std::uint64_t>(Reason::NoCapacity));
    return scaled(expected, MinRetryAfterFactor + fraction * (MaxRetryAfterFactor - MinRetryAfterFactor));
}

/// @return when callers should retry that were refused because their servers want no requests: after the earliest end,
///         spread so that the callers do not return all at once
Duration RelayReducer::retryAfterBackoff(const ServiceId& service, const Context& context) const
{
    const auto capacity = restrictedCapacity(service, context.now);
    const Duration remaining = capacity ? capacity->availableAt - context.now : Duration(0);
    const double fraction = uniformFraction(context.entropy, static_cast<std::uint64_t>(Reason::ServersInBackoff));
    return scaled(std::max(remaining, MinRetryAfterBackoff), 1 + fraction * MaxBackoffSpread);
}

/// Keeps a call from a stage that failed or rejected it until the stage's avoidance time is over. Otherwise attempts at
/// the only engine left would spend retries for nothing. A partly delivered answer waits less, because its caller gives
/// up within seconds.
/// @return whether a stage of the chain is still to be avoided by this call
bool RelayReducer::isKnownFull(const Call& call, const Chain& chain, TimePoint now) const
{
    return std::any_of(chain.hops().begin(), chain.hops().end(), [&](const Hop& hop) {
        const auto server = m_fleet.servers().find(hop.backend);
        const bool isAvoided = std::find(call.avoidedServers.begin(), call.avoidedServers.end(), hop.backend)
            != call.avoidedServers.end();
        if (!isAvoided || server == m_fleet.servers().end())
            return false;
        const TimePoint until = server->second.avoidUntil;
        return now
            < (call.hasPartialAnswer ? std::min(until, server->second.lastRejectedAt + MaxAnswerRetryPause) : until);
    });
}

} // namespace crocusmount::relay
