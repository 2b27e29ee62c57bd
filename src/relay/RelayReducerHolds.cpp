// How RelayReducer keeps calls back while the cause of crashes is not clear.

#include "relay/RelayReducer.h"

#include <algorithm>
#include <cstdint>

namespace crocusmount::relay {

namespace {

    /// Time between two checks whether a held call may be queued.
    constexpr Duration HoldCheckInterval = std::chrono::milliseconds(50);
    /// Longest time that a call is held for a verdict. By then it is known whether each server end belongs to a group
    /// failure, or it will stay unknown.
    constexpr Duration MaxHold = std::chrono::milliseconds(1000);
    /// Longest time that a call is held because its traits are doubtful.
    constexpr Duration MaxTrialWait = std::chrono::milliseconds(2000);

} // namespace

/// Further attempts wait while this holds, because the next server could be one crash too many. Requests with a trait
/// that ran lately do not wait, as only their runs can refute what is held against a popular trait.
/// @return whether server ends that are not settled yet may be enough to quarantine a trait of the request
bool RelayReducer::awaitsCrashVerdict(const Call& call) const
{
    if (!countsCrashes())
        return false;
    return std::any_of(call.traits.begin(), call.traits.end(), [&](const RequestTrait& trait) {
        if (hasRunLately(trait, m_now))
            return false;
        const std::size_t open = m_crashEvidence.unclassifiedEndCount(trait);
        const std::uint32_t each = RequestQuarantine::pointsOf(CrashSign::JustBegun);
        const TraitEvidence evidence = m_quarantine.evidence(trait, m_now);
        return (open || evidence.points) && each * open >= missingPoints(evidence);
    });
}

/// Keeps a call out of the queue until there is a verdict on its request, or until it may be sent as a trial. In the
/// queue it would block those behind it.
void RelayReducer::holdCall(Call& call, Context& context)
{
    call.state = CallState::Waiting;
    call.holdDeadline = std::min(call.deadline, context.now + (call.awaitsTrial ? MaxTrialWait : MaxHold));
    call.nextHoldCheckAt = context.now + HoldCheckInterval;
    call.waitUntil = std::max(call.waitUntil, *call.holdDeadline);
    ++m_counters.held;
}

/// Queues held calls whose request has a verdict, that were held for long enough, or that are sent as a trial.
void RelayReducer::releaseHeldCalls(Context& context)
{
    const RequestId* trial = chooseTrial(context);
    std::vector<RequestId> due;
    for (auto& [id, call] : m_calls) {
        if (!call.nextHoldCheckAt || (context.now < *call.nextHoldCheckAt && &id != trial))
            continue;
        const bool isOverdue = context.now >= *call.holdDeadline;
        const bool isDoubtful = call.awaitsTrial && doubtfulTraitCount(call);
        call.nextHoldCheckAt = context.now + HoldCheckInterval;
        if (&id != trial && !isOverdue && (isDoubtful || awaitsCrashVerdict(call)))
            continue;
        call.isTrial = isDoubtful;
        due.push_back(id);
    }
    for (const RequestId& id : due) {
        Call& call = m_calls.at(id);
        call.nextHoldCheckAt.reset();
        requeue(call, context);
    }
}

/// Chooses the held call that is sent next as a trial: one with the fewest doubtful contents and parts, because only
/// runs without the cause of the crashes refute what is held against the others.
/// @return its key in m_calls, or null if no trial is due
const RequestId* RelayReducer::chooseTrial(Context& context)
{
    const RequestId* chosen = nullptr;
    std::size_t fewest = SIZE_MAX;
    for (const auto& [id, call] : m_calls) {
        const std::size_t doubtful = call.nextHoldCheckAt && call.awaitsTrial ? doubtfulTraitCount(call) : 0;
        if (!doubtful || doubtful >= fewest || awaitsCrashVerdict(call))
            continue;
        fewest = doubtful;
        chosen = &id;
    }
    if (chosen)
        m_trialRuns.plan(context.now, context.entropy, m_placer.instances());
    if (chosen && !m_trialRuns.isDue(context.now))
        return nullptr;
    m_trialRuns.reset();
    return chosen;
}

/// @return the number of contents and parts of the request that are doubtful
std::size_t RelayReducer::doubtfulTraitCount(const Call& call) const
{
    const std::set<RequestTrait>& doubtful = m_quarantine.doubtfulTraits();
    if (doubtful.empty())
        return 0;
    std::set<RequestTrait::Value> found;
    for (const RequestTrait& trait : call.traits) {
        if (doubtful.count(trait))
            found.insert(trait.value);
    }
    return found.size();
}

} // namespace crocusmount::relay
