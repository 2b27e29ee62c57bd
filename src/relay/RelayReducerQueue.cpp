// How RelayReducer serves its queues, who is refused for lack of capacity, and when such callers should retry.

#include "relay/RelayReducer.h"
#include "relay/ScaledDuration.h"
#include "relay/Spread.h"

#include <algorithm>
#include <xxhash.h>

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
    /// Callers ignore a Retry-After of more than this share of their remaining time.
    constexpr double MaxRetryAfterShare = 1.0 / 3;

    /// @return a key of a call's workspace and content, the same for a repeat of the call
    std::uint64_t keyOf(const Call& call)
    {
        const std::string& workspace = call.workspace.value();
        const auto& content = call.spec.content.bytes;
        return XXH3_64bits_withSeed(content.data(), content.size(), XXH3_64bits(workspace.data(), workspace.size()))
            & PromisedReturn::KeyMask;
    }

} // namespace

/// Places what can be placed. Interrupted answers come before the queues.
void RelayReducer::dispatchAll(Context& context)
{
    resumeInterrupted(context);
    for (auto& [service, queue] : m_services)
        dispatch(queue.waiting(), context);
}

/// Places the calls of a queue in order, and passes over those without capacity as far as PlacingRound allows.
void RelayReducer::dispatch(FairQueue& queue, Context& context)
{
    if (m_options.without.has(Mechanism::QueueBypass)) {
        dispatchInOrder(queue, context);
        return;
    }
    PlacingRound round;
    while (!round.isOver()) {
        const auto next = queue.next(round.passedOver());
        if (!next)
            return;
        const auto found = m_calls.find(*next);
        if (found == m_calls.end()) {
            queue.erase(*next);
            continue;
        }
        Call& call = found->second;
        if (!round.shouldTry(call, isLimited(call)))
            continue;
        const PlaceResult result = place(call, context);
        if (result == PlaceResult::Started) {
            round.started();
            queue.serve(call.id);
            if (context.now > call.arrived)
                context.effects.emplace_back(effect::RecordWait { call.id, context.now - call.arrived });
            continue;
        }
        if (call.awaitsTrial) {
            queue.erase(call.id);
            holdCall(call, context);
            continue;
        }
        const Service* service = call.routes->service(call.service);
        round.failed(call, result, service && service->engine);
    }
}

/// Places the calls of a queue in order, up to the first one without capacity.
void RelayReducer::dispatchInOrder(FairQueue& queue, Context& context)
{
    while (const auto next = queue.pop()) {
        const auto found = m_calls.find(*next);
        if (found == m_calls.end())
            continue;
        Call& call = found->second;
        if (place(call, context) == PlaceResult::Started)
            continue;
        if (call.awaitsTrial) {
            holdCall(call, context);
            continue;
        }
        queue.pushFront(call.workspace, 1, -call.rank, call.id);
        return;
    }
}

/// @return whether the concurrency limit applies to a call. It does not apply to partly delivered streams.
bool RelayReducer::isLimited(const Call& call) const
{
    return !m_options.without.has(Mechanism::StreamLimit) && isStream(call.route->kind) && !call.hasPartialAnswer;
}

/// Ends calls whose deadline has passed, and waiting calls whose longest wait is over.
void RelayReducer::refuseOverdue(Context& context)
{
    std::vector<RequestId> due;
    for (const auto& [id, call] : m_calls) {
        const bool hasWaitExpired = call.state == CallState::Waiting && context.now >= call.waitUntil;
        if (hasWaitExpired || context.now >= call.deadline)
            due.push_back(id);
    }
    for (const RequestId& id : due) {
        Call& call = m_calls.at(id);
        const std::optional<RetryLimit> limit = waitLimit(call, context);
        const Reason shortage = call.interruptionReason.value_or(Reason::NoCapacity);
        keepOnly(call, AttemptId(), context);
        finishUnanswered(call, context.now >= call.deadline ? Reason::TimedOut : shortage, context, limit);
    }
}

/// Notes that a call has arrived, for the rates of its service, and whether its caller keeps to a time that it was
/// given.
void RelayReducer::recordArrival(Call& call, Context& context)
{
    if (m_options.without.has(Mechanism::ReturnSlots))
        return;
    ServiceQueue& queue = queueOf(call);
    if (const auto promise = m_promisedReturns.take(keyOf(call), context.now)) {
        if (promise->slot)
            queue.returnSlots().release(*promise->slot);
        call.isReturnOnTime = !promise->isEarly;
        // A second refusal would cost the caller its answer, a late first event would not.
        if (call.isReturnOnTime)
            call.waitUntil = std::max(call.waitUntil, context.now + call.route->objective);
        ++(promise->isEarly ? m_counters.returnsEarly : m_counters.returnsOnTime);
        context.effects.emplace_back(effect::LogReturn { call.id, promise->isEarly, promise->late });
    }
    queue.arrived(call.rank, call.isReturnOnTime, context.now);
}

/// Remembers the times that other instances gave to callers.
void RelayReducer::recordReturnsElsewhere(const std::vector<PromisedReturn>& returns, const Context& context)
{
    if (m_options.without.has(Mechanism::ReturnSlots))
        return;
    for (const PromisedReturn& each : returns)
        m_promisedReturns.add(each.key, each.begin, std::nullopt, context.now);
}

/// Queues a call that could not be started on arrival, or refuses it if its turn would come too late.
void RelayReducer::enqueueOrRefuse(Call& call, Context& context)
{
    ServiceQueue& queue = queueOf(call);
    FairQueue& waiting = queue.waiting();
    const bool hasForecast = !m_options.without.has(Mechanism::WaitForecast) && queue.knowsRates();
    if (!hasForecast && context.now + queue.expectedWait() > call.waitUntil) {
        finishUnanswered(call, Reason::NoCapacity, context);
        return;
    }
    waiting.push(call.workspace, 1, -call.rank, { call.id, std::max(1.0, call.tokens), call.isReturnOnTime });
    dispatch(waiting, context);
    if (!hasForecast || call.state != CallState::Waiting)
        return;
    const auto ahead = waiting.positionOf(call.id);
    if (ahead && isForeseenTooLate(call, *ahead, context.now))
        finishUnanswered(call, Reason::NoCapacity, context);
}

/// @param ahead  calls that will be placed before this one
/// @return whether the turn of a waiting call is expected to come after its longest wait
bool RelayReducer::isForeseenTooLate(const Call& call, std::size_t ahead, TimePoint now)
{
    const auto wait = queueOf(call).expectedWait(ahead, now);
    return wait && now + *wait > std::min(call.waitUntil, call.deadline);
}

/// Refuses the queued calls whose turn is now expected to come too late, because fewer calls end or more urgent ones
/// came. The calls behind a refused one move up.
void RelayReducer::refuseForeseen(Context& context)
{
    if (m_options.without.has(Mechanism::WaitForecast))
        return;
    for (auto& [service, queue] : m_services) {
        std::vector<RequestId> refused;
        std::size_t ahead = 0;
        for (const RequestId& id : queue.waiting().order()) {
            const auto call = m_calls.find(id);
            if (call == m_calls.end())
                continue;
            if (isForeseenTooLate(call->second, ahead, context.now))
                refused.push_back(id);
            else
                ++ahead;
        }
        for (const RequestId& id : refused) {
            Call& call = m_calls.at(id);
            finishUnanswered(call, Reason::NoCapacity, context, waitLimit(call, context));
        }
    }
}

/// Notes a refusal for lack of capacity and returns when the caller should retry; zero if a retry is useless.
Duration RelayReducer::retryAfterShortage(const Call& call, Reason reason, Context& context)
{
    ServiceQueue& queue = queueOf(call);
    effect::LogShortage note;
    note.call = call.id;
    note.cause = call.hasFailedAttempt() ? ShortageCause::FailedAttempt
        : context.now >= call.waitUntil  ? ShortageCause::WaitedTooLong
                                         : ShortageCause::ForeseenTooLate;
    note.waited = context.now - call.arrived;
    note.waiting = queue.waiting().size();
    note.rates = queue.rates(context.now);
    ++m_counters.shortages.at(static_cast<std::size_t>(note.cause));
    // Limits that servers name do not show in the rates, and a call that may have run is not told to return.
    note.usesSlots = !m_options.without.has(Mechanism::ReturnSlots) && reason != Reason::LimitReached
        && !call.mayHaveRun && queue.knowsRates();
    const Duration byAge
        = reason == Reason::RefusedByBackend ? retryAfterFor(reason, context) : retryAfterByAge(queue, context);
    const Duration retryAfter = note.usesSlots ? bookReturn(call, note, context) : byAge;
    context.effects.emplace_back(note);
    return retryAfter;
}

/// Gives the caller of a refused call a slot to return in, and remembers the call.
Duration RelayReducer::bookReturn(const Call& call, effect::LogShortage& note, Context& context)
{
    ServiceQueue& queue = queueOf(call);
    const Duration remaining = call.deadline - context.now;
    const Duration latest = std::min(scaled(remaining, MaxRetryAfterShare), remaining - call.route->objective);
    const double fraction = uniformFraction(context.entropy, static_cast<std::uint64_t>(Reason::NoCapacity));
    note.offer = queue.returnSlots().book(
        context.now, std::max(latest, Duration(0)), queue.isMostUrgent(call.rank), note.rates, fraction);
    if (!note.offer.slot) {
        ++m_counters.slotsFull;
        return note.offer.retryAfter;
    }
    ++m_counters.slotsGiven;
    note.slotIn = ReturnSlots::beginOf(*note.offer.slot) - context.now;
    const PromisedReturn promise { keyOf(call), ReturnSlots::beginOf(*note.offer.slot) };
    m_promisedReturns.add(promise.key, promise.begin, *note.offer.slot, context.now);
    context.effects.emplace_back(effect::ShareReturn { promise });
    return note.offer.retryAfter;
}

/// A shortage is expected to last for as long again as it has lasted, because its causes range from a burst of half a
/// second to an engine whose layers take five seconds to load elsewhere. Callers retry only once or twice, so one that
/// retries too early is not served at all. The times are spread so that callers do not return all at once.
/// @return when a caller that is refused for lack of capacity should retry while no rates are known
Duration RelayReducer::retryAfterByAge(ServiceQueue& queue, const Context& context) const
{
    const Duration shortage = queue.refused(context.now);
    const Duration lasted = m_options.without.has(Mechanism::ComeBackTime) ? Duration(0) : shortage;
    const Duration expected = std::clamp(lasted, MinExpectedShortage, MaxExpectedShortage);
    const double fraction = uniformFraction(context.entropy, static_cast<std::uint64_t>(Reason::NoCapacity));
    return scaled(expected, MinRetryAfterFactor + fraction * (MaxRetryAfterFactor - MinRetryAfterFactor));
}

} // namespace crocusmount::relay
