// How RelayReducer handles ticks: deadlines, stalled streams, reroutes and second attempts.

#include "relay/RelayReducer.h"
#include "relay/ScaledDuration.h"

#include <algorithm>

namespace crocusmount::relay {

namespace {

    /// A stage of a silent call counts as stalled if no event of any call passed it later than this after the call's
    /// own last event.
    constexpr Duration StallTolerance = std::chrono::milliseconds(40);
    /// Multiple of the stall limit for a chain whose stages all make progress with other calls. The chain may just
    /// be slow with this call.
    constexpr int UnexplainedStallFactor = 3;
    /// Maximum number of stalled stages that are all abandoned. If more seem to have stalled, the first stage is asked
    /// which one has.
    constexpr std::size_t MaxSuspectedStages = 2;

} // namespace

void RelayReducer::on(const event::Tick&, Context& context)
{
    logRetryBudgets(context);
    m_checkBudget.refill(m_fleet.servers().size(), m_placer.instances(), context.now);
    updatePath(context);
    updateStart(context);
    admitEarlyCalls(context);
    serveHeldAtStart(context);
    settleOverdueEnds(context);
    refuseOverdue(context);
    refuseBeyondRestrictions(context);
    recheckDeadAndSlowEngines(context);
    checkClosedEngines(context);
    moveOffLeaving(context);
    retryLostStages(context);
    settleCrashes(context);
    searchLosses(context);
    for (auto& [id, call] : m_calls) {
        if (call.state != CallState::Running)
            continue;
        releaseOverdueAnswer(call, context);
        recordLateFirstEvent(call, context);
        checkRunning(call, context);
    }
    dispatchAll(context);
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

/// @return what kept an overdue call from another attempt, or nothing if no attempt at it failed
std::optional<RetryLimit> RelayReducer::waitLimit(const Call& call, const Context& context)
{
    if (context.now >= call.deadline)
        return RetryLimit::Deadline;
    if (!call.hasFailedAttempt())
        return std::nullopt;
    const auto limit = retryLimit(call, context);
    const bool isBudgetSpent = call.interruptionReason && !budgetOf(call.service).hasToken();
    return limit.value_or(isBudgetSpent ? RetryLimit::Budget : RetryLimit::NoServer);
}

/// Tells the concurrency limit of a stream that has had no event within the objective. This shows an overload earlier
/// than the late first event would.
void RelayReducer::recordLateFirstEvent(Call& call, Context& context)
{
    if (!isStream(call.route->kind) || call.main.eventsDelivered || call.main.isFirstEventLate
        || call.hasAvoidedServers() || context.now - call.main.startedAt < call.route->objective)
        return;
    call.main.isFirstEventLate = true;
    queueOf(call).limit().answered(1, queueOf(call).running(), context.now);
}

/// Looks for stalled stages of a running call, and moves the call off them or starts a second attempt.
void RelayReducer::checkRunning(Call& call, Context& context)
{
    if (isCutOff() || !isRepeatable(call.route->kind) || call.main.unprovenEnd || call.second
        || !call.main.pendingReroute.hops().empty())
        return;
    if (call.main.hasLostStage)
        return; // Handled by retryLostStages.
    checkSilentStages(call, context);
    if (call.second || !call.main.pendingReroute.hops().empty() || !isStalled(call, context.now))
        return;
    const std::vector<BackendId> stalled = stalledStages(call);
    if (!stalled.empty() && stalled.size() <= MaxSuspectedStages) {
        abandonStages(call, stalled, context);
        return;
    }
    // An instance with few streams cannot tell by itself which stage has stalled.
    askStalledStage(call, context);
    if (call.main.stallQueries == 1 && context.now < call.main.lastStallQueryAt + m_options.stallQueryInterval)
        return; // The first stage may still name the stalled one.
    const Duration limit = call.hasPartialAnswer ? m_options.minStall : m_options.firstEventLimit;
    if (stalled.empty() && context.now - call.lastProgress < limit * UnexplainedStallFactor)
        return;
    for (const BackendId& stage : stalled)
        call.addAvoided(stage);
    startSecondAttempt(call, AttemptPurpose::Stalled, context);
}

/// Asks the first stage of the main attempt which stage has stalled.
void RelayReducer::askStalledStage(Call& call, Context& context)
{
    Attempt& attempt = call.main;
    const FleetServer* first = m_fleet.find(attempt.server);
    if (first && first->backoff.isActive(context.now))
        return;
    if (m_options.without.has(Mechanism::StallQuestions) || attempt.chain.hops().empty()
        || attempt.stallQueries >= m_options.maxStallQueries
        || context.now < attempt.lastStallQueryAt + m_options.stallQueryInterval)
        return;
    ++attempt.stallQueries;
    attempt.lastStallQueryAt = context.now;
    ++m_counters.stallQuestions;
    context.effects.emplace_back(
        effect::AskStalledStage { attempt.id, call.id, attempt.server, attempt.chain.hops().front().address });
}

void RelayReducer::on(const event::StalledStageReported& named, Context& context)
{
    Call* call = findByAttempt(named.attempt);
    if (!call || call->main.id != named.attempt)
        return;
    const FleetServer* stage = named.address.empty() ? nullptr : m_fleet.findByAddress(named.address);
    if (stage)
        abandonStages(*call, { stage->entry.id }, context);
}

/// Marks stages as suspect, and moves the call off them by a reroute or else by a second attempt.
void RelayReducer::abandonStages(Call& call, const std::vector<BackendId>& stages, Context& context)
{
    for (const BackendId& stage : stages) {
        m_fleet.setAvoidedUntil(stage, context.now + m_options.stallAvoidance);
        call.addAvoided(stage);
    }
    if (!call.second && reroute(call, stages, context) == MoveResult::Impossible)
        startSecondAttempt(call, AttemptPurpose::Stalled, context);
}

/// Starts an attempt at other servers while the main attempt continues, because a silent server may still deliver.
/// @return whether the attempt was started
bool RelayReducer::startSecondAttempt(Call& call, AttemptPurpose purpose, Context& context)
{
    const bool isBesideEnd = purpose == AttemptPurpose::UnprovenEnd;
    if (call.main.unprovenEnd.has_value() != isBesideEnd)
        return false;
    if (!isBesideEnd && m_options.without.has(Mechanism::SecondAttempts))
        return false;
    RetryBudget& budget = budgetOf(call.service);
    if (awaitsCrashVerdict(call) || countedAttempts(call) + 1 >= call.route->maxAttempts || retryLimit(call, context)
        || isRetryReserved(call.service) || !budget.hasToken())
        return false;
    call.second = startAttempt(call, purpose, context);
    if (!call.second)
        return false;
    budget.spend();
    const Reason reason = purpose == AttemptPurpose::Leaving ? Reason::Draining
        : isBesideEnd                                        ? Reason::ConnectionLost
                                                             : Reason::Stalled;
    ++m_counters.retried.at(static_cast<std::size_t>(reason));
    return true;
}

/// Forgets the second attempt, which has ended or become the main one, and ends the hold of the main answer.
void RelayReducer::endSecondAttempt(Call& call, Context& context)
{
    call.second.reset();
    continueAnswer(call, context);
}

/// Orders the first stage of the main attempt to continue on another chain, which begins with the same stage.
/// @param excluded  stages that the new chain must not contain
RelayReducer::MoveResult RelayReducer::reroute(Call& call, const std::vector<BackendId>& excluded, Context& context)
{
    Attempt& attempt = call.main;
    const bool leavesFirstStage = std::find(excluded.begin(), excluded.end(), attempt.server) != excluded.end();
    if (!attempt.pendingReroute.hops().empty())
        return MoveResult::Pending;
    const FleetServer* first = m_fleet.find(attempt.server);
    const bool acceptsReroutes = !first || !(first->refusedCheck || first->backoff.isActive(context.now));
    if (m_options.without.has(Mechanism::Reroutes) || attempt.unprovenEnd || awaitsCrashVerdict(call)
        || leavesFirstStage || !acceptsReroutes || attempt.rerouteCount >= m_options.maxReroutes)
        return MoveResult::Impossible;
    std::vector<BackendId> avoided = excluded;
    if (findsGroupLosses()) {
        const std::vector<BackendId> named = m_namedStages.avoided(context.now);
        avoided.insert(avoided.end(), named.begin(), named.end());
    }
    auto chain = m_placer.reroute(call, attempt, avoided, context.now, context.entropy);
    if (!chain)
        return MoveResult::Impossible;
    if (awaitsCheck(*chain, context))
        return MoveResult::Pending;
    ++attempt.rerouteCount;
    ++m_counters.rerouted;
    // The new stages need the capacity from now on. The old ones are released when the order is answered.
    m_fleet.book(*chain, call.tokens);
    attempt.pendingReroute = *chain;
    const bool isMovedForSilence = call.hasPartialAnswer && isSilent(call, context.now);
    const Duration silence = isMovedForSilence ? context.now - call.lastDeliveredAt : Duration(0);
    call.lastProgress = context.now;
    context.effects.emplace_back(effect::RerouteAttempt {
        attempt.id, call.id, attempt.chain.hops().front().address, *std::move(chain), silence });
    return MoveResult::Ordered;
}

/// @return whether the main attempt has made no progress for longer than its stall limit
bool RelayReducer::isStalled(const Call& call, TimePoint now) const
{
    const Duration sinceProgress = now - call.lastProgress;
    if (!isStream(call.route->kind))
        return sinceProgress > scaled(call.route->objective, m_options.slowCallFactor);
    if (!call.main.eventsDelivered)
        return sinceProgress > m_options.firstEventLimit;
    return sinceProgress > std::max(m_options.minStall, scaled(call.meanEventGap, m_options.stallFactor));
}

/// @return the stages of the main attempt through which no event of any call passed since the call's last progress
std::vector<BackendId> RelayReducer::stalledStages(const Call& call) const
{
    if (call.main.chain.hops().empty())
        return { call.main.server };
    std::vector<BackendId> stalled;
    for (const Hop& hop : call.main.chain.hops()) {
        const auto found = m_fleet.servers().find(hop.backend);
        if (found == m_fleet.servers().end() || found->second.lastProgress <= call.lastProgress + StallTolerance)
            stalled.push_back(hop.backend);
    }
    return stalled;
}

} // namespace crocusmount::relay
