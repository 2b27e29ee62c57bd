// How RelayReducer holds calls while this instance knows too little to place them, see StartAdmission.

#include "relay/CarriedCalls.h"
#include "relay/RelayReducer.h"
#include "relay/ScaledDuration.h"
#include "relay/Spread.h"

#include <algorithm>
#include <tuple>

namespace crocusmount::relay {

namespace {

    /// Caller's timeout where none was sent, as on the users' platforms.
    constexpr Duration UsualTimeout = std::chrono::seconds(20);
    /// A held call that fits nowhere doesn't hold back those behind it, but a tick tries no more than this many in
    /// vain.
    constexpr int MaxFailedPlacements = 4;
    /// Distinguishes the random number for Retry-After times from the others of one event.
    constexpr std::uint64_t RetryAfterUse = 101;

    Duration timeoutOf(const CallSpec& spec)
    {
        return spec.callerTimeout.count() > 0 ? spec.callerTimeout : UsualTimeout;
    }

    /// @return a random word of its own for a call, as all calls of one event would otherwise choose alike
    std::uint64_t entropyFor(std::uint64_t entropy, RequestId call)
    {
        return entropy ^ (call.value() * 0xD1B54A32D192ED03ULL);
    }

    bool isLate(const Call& call, double queueWaitShare, TimePoint now)
    {
        return call.isReturning || now > call.arrived + scaled(call.route->objective, queueWaitShare);
    }

    /// Calls that can still begin in time come first, then more urgent ones, then earlier ones.
    std::tuple<bool, int, TimePoint, RequestId> orderOf(const Call& call, double queueWaitShare, TimePoint now)
    {
        return { isLate(call, queueWaitShare, now), call.rank, call.arrived, call.id };
    }

} // namespace

bool RelayReducer::isHoldingAtStart() const { return !m_options.without.has(Mechanism::StartAdmission); }

void RelayReducer::on(const event::StoreCopyChecked& checked, Context& context)
{
    m_isStoreCopyOutdated = checked.isOutdated;
    m_start.storeCopyChecked(checked.isOutdated, context.now);
    m_retryShare.storeCopyChecked(checked.isOutdated);
}

// ---- Before the first configuration --------------------------------------------------------------------------------

/// Keeps a call that arrived before the first configuration, or refuses it at once.
/// @return false if the call has to be admitted or refused as usual
bool RelayReducer::keepEarlyCall(const event::CallArrived& arrival, Context& context)
{
    const Duration timeout = arrival.spec.callerTimeout;
    const bool isFull = m_earlyCalls.size() >= StartAdmission::MaxHeldWithoutServers;
    if (!isHoldingAtStart()) {
        const Duration wait = timeout.count() > 0
            ? std::min(m_options.configurationWait, scaled(timeout, m_options.configurationWaitShare))
            : m_options.configurationWait;
        if (!isFull)
            m_earlyCalls.push_back({ arrival, context.now, context.now + wait });
        return !isFull;
    }
    // The kind of the call is not known yet. A stream's caller is the one that leaves first.
    const Duration hold = m_start.holdTime(timeout, Duration(0), true);
    const EarlyCall early { arrival, context.now, context.now + hold };
    if (isFull || hold.count() <= 0) {
        refuseEarlyCall(early, isFull ? StartHoldEnd::TooMany : StartHoldEnd::TooShort, context);
        return true;
    }
    ++m_counters.startHeld;
    m_earlyCalls.push_back(early);
    return true;
}

void RelayReducer::refuseEarlyCall(const EarlyCall& early, StartHoldEnd end, Context& context)
{
    Call call;
    call.id = early.arrival.call;
    call.spec = early.arrival.spec;
    call.arrived = early.arrived;
    const double fraction = uniformFraction(entropyFor(context.entropy, call.id), RetryAfterUse);
    const Duration remaining = timeoutOf(call.spec) - (context.now - call.arrived);
    const Duration retryAfter = m_start.retryAfter(ServiceId(), m_earlyCalls.size(), remaining, fraction, context.now);
    ++m_counters.refused.at(static_cast<std::size_t>(Reason::NotConfigured));
    logStartHold(call, end, retryAfter, context);
    refuse(call, Reason::NotConfigured, RunState::NotRun, retryAfter, std::nullopt, context);
}

/// Admits calls that arrived before the first configuration, and refuses those that have waited too long. This happens
/// at a tick, after the events that follow the configuration, so that the backend servers read with it are known.
void RelayReducer::admitEarlyCalls(Context& context)
{
    std::vector<EarlyCall> due;
    std::erase_if(m_earlyCalls, [&](const EarlyCall& waiting) {
        const bool isDue = m_routes || context.now >= waiting.until;
        if (isDue)
            due.push_back(waiting);
        return isDue;
    });
    for (const EarlyCall& waiting : due) {
        if (!m_routes && isHoldingAtStart())
            refuseEarlyCall(waiting, StartHoldEnd::PatienceOver, context);
        else
            admitOrRefuse(waiting.arrival, waiting.arrived, context);
    }
}

// ---- From the first configuration on -------------------------------------------------------------------------------

/// Finds out what the listed servers of a service carry, and adjusts this instance's share.
void RelayReducer::updateStartKnowledge(const ServiceId& id, Context& context)
{
    const Service* service = m_routes->service(id);
    if (!service)
        return;
    double running = 0;
    for (const auto& [backend, server] : m_fleet.servers())
        running += server.entry.service == id ? server.ownCalls + server.othersLoad.calls : 0;
    const StartAdmission::Capacity capacity { carriedCalls(m_fleet, *service), running, service->engine.has_value() };
    m_start.setCapacity(id, capacity, context.now, entropyFor(context.entropy, RequestId(m_heldAtStart.size() + 1)));
    if (capacity.isPaced && capacity.calls > 0 && m_start.instances() > 1)
        m_services[id].limit().setInitial(m_start.shareOf(id) + 1);
    const StartKnowledge known = m_start.knowledgeOf(id, context.now);
    const auto [logged, isNew] = m_startKnowledge.try_emplace(id, StartKnowledge::Nothing);
    if (logged->second == known)
        return;
    context.effects.emplace_back(effect::LogStartKnowledge { id.value(), std::exchange(logged->second, known), known,
        m_start.unknownFor(id, context.now), m_heldAtStart.size(), m_start.instances(), capacity.calls,
        m_start.callsPerSecond(id) });
}

/// Updates what is known of all services, for as long as that may be too little.
void RelayReducer::updateStart(Context& context)
{
    m_placer.setCostSpread(isHoldingAtStart() ? m_start.costSpread(context.now) : 0);
    if (!m_routes || !isHoldingAtStart())
        return;
    const bool isComplete = std::all_of(m_startKnowledge.begin(), m_startKnowledge.end(),
        [](const auto& each) { return each.second == StartKnowledge::Complete; });
    if (isComplete && m_heldAtStart.empty() && !m_start.isWatched(context.now))
        return;
    for (const Service& service : m_routes->configuration().services)
        updateStartKnowledge(service.id, context);
}

/// Holds an admitted call, places it within this instance's share, or refuses it, while too little is known.
/// @return false if enough is known, so the call has to be placed or queued as usual
bool RelayReducer::holdAtStart(Call& call, Context& context)
{
    if (!isHoldingAtStart())
        return false;
    if (m_start.mayMissServers(context.now) && m_start.callsPerSecond(call.service) <= 0)
        updateStartKnowledge(call.service, context);
    const StartKnowledge known = m_start.knowledgeOf(call.service, context.now);
    // A stream that is resumed has lost its server, and its caller has a part of the answer to lose.
    call.isReturning = isStream(call.route->kind) && !call.spec.resumeAfter
        && m_start.isReturning(call.route->id, call.spec.callerTimeout);
    const bool isLateNow = isLate(call, m_options.queueWaitShare, context.now);
    const bool isNew
        = !m_start.isFull(call.service, context.now) && !(isLateNow && m_start.isRecovering(call.service, context.now));
    if (known == StartKnowledge::Complete && (isNew || m_start.callsPerSecond(call.service) <= 0)) {
        m_start.went(call.service);
        return false;
    }
    const Route& route = *call.route;
    const Duration hold = m_start.holdTime(call.spec.callerTimeout, route.objective, isStream(route.kind));
    call.startHoldUntil = std::min(call.deadline, call.arrived + hold);
    call.waitUntil = *call.startHoldUntil;
    const std::size_t ahead = heldBefore(call, context.now);
    if (!ahead && m_start.mayGo(call.service, isLateNow, context.now) && placeHeld(call, context))
        return true;
    const bool areServersKnown = m_start.callsPerSecond(call.service) > 0;
    if (hold.count() <= 0) {
        refuseHeld(call, StartHoldEnd::TooShort, context);
    } else if (context.now >= *call.startHoldUntil) {
        refuseHeld(call, StartHoldEnd::PatienceOver, context);
    } else if (!areServersKnown && m_heldAtStart.size() >= StartAdmission::MaxHeldWithoutServers) {
        refuseHeld(call, StartHoldEnd::TooMany, context);
    } else if (!m_start.canBegin(call.service, ahead, context.now, *call.startHoldUntil)) {
        refuseHeld(call, StartHoldEnd::NotInTime, context);
    } else {
        if (context.now == call.arrived)
            ++m_counters.startHeld;
        m_heldAtStart.insert(call.id);
    }
    return true;
}

/// @return held calls of the same service that go before a call
std::size_t RelayReducer::heldBefore(const Call& call, TimePoint now) const
{
    const auto own = orderOf(call, m_options.queueWaitShare, now);
    return static_cast<std::size_t>(std::count_if(m_heldAtStart.begin(), m_heldAtStart.end(), [&](RequestId id) {
        const Call& other = m_calls.at(id);
        return other.service == call.service && orderOf(other, m_options.queueWaitShare, now) < own;
    }));
}

/// @return the held calls of all services in the order in which they go
std::vector<RequestId> RelayReducer::orderHeld(TimePoint now) const
{
    std::vector<RequestId> ordered(m_heldAtStart.begin(), m_heldAtStart.end());
    std::sort(ordered.begin(), ordered.end(), [&](RequestId first, RequestId second) {
        return orderOf(m_calls.at(first), m_options.queueWaitShare, now)
            < orderOf(m_calls.at(second), m_options.queueWaitShare, now);
    });
    return ordered;
}

/// Places a call that may go now.
/// @return false if no server has capacity
bool RelayReducer::placeHeld(Call& call, Context& context)
{
    Context own { context.now, entropyFor(context.entropy, call.id), context.effects };
    if (!place(call, own))
        return false;
    m_start.went(call.service);
    logStartHold(call, StartHoldEnd::Placed, Duration(0), context);
    m_heldAtStart.erase(call.id);
    call.startHoldUntil.reset();
    return true;
}

void RelayReducer::refuseHeld(Call& call, StartHoldEnd end, Context& context)
{
    const double fraction = uniformFraction(entropyFor(context.entropy, call.id), RetryAfterUse);
    const Duration remaining = timeoutOf(call.spec) - (context.now - call.arrived);
    const Duration retryAfter
        = m_start.retryAfter(call.service, m_heldAtStart.size(), remaining, fraction, context.now);
    ++m_counters.refused.at(static_cast<std::size_t>(Reason::NoCapacity));
    logStartHold(call, end, retryAfter, context);
    refuse(call, Reason::NoCapacity, RunState::NotRun, retryAfter, std::nullopt, context);
    remove(call.id);
}

/// Lets held calls go, and refuses those that can't begin while their callers still wait.
void RelayReducer::serveHeldAtStart(Context& context)
{
    std::map<ServiceId, std::size_t> ahead;
    std::map<ServiceId, int> failed;
    for (const RequestId id : orderHeld(context.now)) {
        Call& call = m_calls.at(id);
        if (!isHoldingAtStart()) {
            call.startHoldUntil.reset();
            m_heldAtStart.erase(id);
            requeue(call, context);
            continue;
        }
        int& failures = failed[call.service];
        if (context.now >= *call.startHoldUntil)
            refuseHeld(call, StartHoldEnd::PatienceOver, context);
        else if (failures < MaxFailedPlacements
            && m_start.mayGo(call.service, isLate(call, m_options.queueWaitShare, context.now), context.now)) {
            if (!placeHeld(call, context))
                ++failures;
        } else if (!m_start.canBegin(call.service, ahead[call.service]++, context.now, *call.startHoldUntil))
            refuseHeld(call, StartHoldEnd::NotInTime, context);
    }
}

void RelayReducer::logStartHold(const Call& call, StartHoldEnd end, Duration retryAfter, Context& context)
{
    ++m_counters.startHolds.at(static_cast<std::size_t>(end));
    context.effects.emplace_back(effect::LogStartHold { call.id, end, m_start.knowledgeOf(call.service, context.now),
        context.now - call.arrived, m_earlyCalls.size() + m_heldAtStart.size(),
        m_start.unknownFor(call.service, context.now), m_start.callsPerSecond(call.service), retryAfter });
}

} // namespace crocusmount::relay
