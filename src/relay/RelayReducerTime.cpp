// What RelayReducer does as time passes: deadlines, stalls, reroutes, second attempts.

#include "relay/RelayReducer.h"
#include "relay/ScaledDuration.h"

#include <algorithm>

namespace crocusmount::relay {

namespace {

    /// A stage with an event this shortly before a stall began is still held to have stalled.
    constexpr Duration StallTolerance = std::chrono::milliseconds(40);
    /// A chain whose stages all move for other calls may be slow with this one: it gets this many times longer.
    constexpr int UnexplainedStallFactor = 3;
    /// So many stages without a sign of life are few enough to leave them all.
    constexpr std::size_t MaxSuspectedStages = 2;

} // namespace

void RelayReducer::on(const event::Tick&, Context& context)
{
    for (auto& [service, budget] : m_budgets)
        budget.ripen(retryBurstShare());
    m_checkBudget.earn(m_fleet.servers().size(), m_placer.instances(), context.now);
    admitEarlyCalls(context);
    refuseOverdue(context);
    recheckDeadAndSlowEngines(context);
    checkClosedEngines(context);
    moveOffLeaving(context);
    retryLostStages(context);
    settleCrashes(context);
    for (auto& [id, call] : m_calls) {
        if (call.state != CallState::Running)
            continue;
        releaseOverdueAnswer(call, context);
        recordLateFirstEvent(call, context);
        checkRunning(call, context);
    }
    dispatchAll(context);
}

/// Calls that came before the first configuration are admitted once it is there, and what was read with it, as the
/// backend servers; or refused when they have waited for long enough.
void RelayReducer::admitEarlyCalls(Context& context)
{
    std::vector<EarlyCall> due;
    std::erase_if(m_earlyCalls, [&](const EarlyCall& waiting) {
        const bool isDue = m_routes || context.now >= waiting.until;
        if (isDue)
            due.push_back(waiting);
        return isDue;
    });
    for (const EarlyCall& waiting : due)
        admitOrRefuse(waiting.arrival, waiting.arrived, context);
}

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

/// @return what kept a call from another attempt for as long as it may wait; nothing: it had none
std::optional<RetryLimit> RelayReducer::waitLimit(const Call& call, const Context& context)
{
    if (context.now >= call.deadline)
        return RetryLimit::Deadline;
    if (!call.hasFailedAttempt())
        return std::nullopt;
    const auto limit = retryLimit(call, context);
    const bool isBudgetSpent = call.interruptionReason && !budgetOf(call.service).hasOne();
    return limit.value_or(isBudgetSpent ? RetryLimit::Budget : RetryLimit::NoServer);
}

/// Streams that have no event yet tell of an overload sooner than those that at last get one.
void RelayReducer::recordLateFirstEvent(Call& call, Context& context)
{
    if (!isStream(call.route->kind) || call.main.eventsDelivered || call.main.isFirstEventLate
        || call.hasAvoidedServers() || context.now - call.main.startedAt < call.route->objective)
        return;
    call.main.isFirstEventLate = true;
    queueOf(call).limit().answered(1, queueOf(call).running(), context.now);
}

void RelayReducer::checkRunning(Call& call, Context& context)
{
    if (!isRepeatable(call.route->kind) || call.second || !call.main.pendingReroute.hops().empty())
        return;
    if (call.main.hasLostStage)
        return; // leaveLostStages goes on with it.
    checkSilentStages(call, context);
    if (call.second || !call.main.pendingReroute.hops().empty() || !isStalled(call, context.now))
        return;
    const std::vector<BackendId> culprits = stalledStages(call);
    if (!culprits.empty() && culprits.size() <= MaxSuspectedStages) {
        abandonStages(call, culprits, context);
        return;
    }
    // None or many: an instance with few streams cannot tell by itself whom to leave alone.
    askStalledStage(call, context);
    if (call.main.stallQueries == 1 && context.now < call.main.lastStallQueryAt + m_options.questionInterval)
        return; // The answer may still name the one.
    const Duration limit = call.hasPartialAnswer ? m_options.minStall : m_options.firstEventLimit;
    if (culprits.empty() && context.now - call.lastProgress < limit * UnexplainedStallFactor)
        return;
    for (const BackendId& culprit : culprits)
        call.addAvoided(culprit);
    startSecondAttempt(call, AttemptPurpose::Stalled, context);
}

void RelayReducer::askStalledStage(Call& call, Context& context)
{
    Attempt& attempt = call.main;
    if (m_options.without.has(Mechanism::StallQuestions) || attempt.chain.hops().empty()
        || attempt.stallQueries >= m_options.mostQuestions
        || context.now < attempt.lastStallQueryAt + m_options.questionInterval)
        return;
    ++attempt.stallQueries;
    attempt.lastStallQueryAt = context.now;
    ++m_counters.stallQuestions;
    context.effects.emplace_back(effect::AskStalledStage { attempt.id, call.id, attempt.chain.hops().front().address });
}

void RelayReducer::on(const event::StalledStageNamed& named, Context& context)
{
    Call* call = findByAttempt(named.attempt);
    if (!call || call->main.id != named.attempt)
        return;
    const FleetServer* stage = named.address.empty() ? nullptr : m_fleet.findByAddress(named.address);
    if (stage)
        abandonStages(*call, { stage->entry.id }, context);
}

void RelayReducer::abandonStages(Call& call, const std::vector<BackendId>& stages, Context& context)
{
    for (const BackendId& stage : stages) {
        m_fleet.suspect(stage, context.now + m_options.suspicion);
        call.addAvoided(stage);
    }
    if (!call.second && reroute(call, stages, context) == MoveResult::Impossible)
        startSecondAttempt(call, AttemptPurpose::Stalled, context);
}

/// Tries the call elsewhere while the main attempt goes on: a server's silence is no reason to end an answer.
/// @return whether another attempt began
bool RelayReducer::startSecondAttempt(Call& call, AttemptPurpose purpose, Context& context)
{
    if (m_options.without.has(Mechanism::SecondAttempts))
        return false;
    RetryBudget& budget = budgetOf(call.service);
    if (awaitsCrashVerdict(call) || countedAttempts(call) + 1 >= call.route->maxAttempts || retryLimit(call, context)
        || isRetryReserved(call.service) || !budget.hasOne())
        return false;
    call.second = startAttempt(call, purpose, context);
    if (!call.second)
        return false;
    budget.spend();
    const Reason reason = purpose == AttemptPurpose::Leaving ? Reason::Draining : Reason::Stalled;
    ++m_counters.retried.at(static_cast<std::size_t>(reason));
    return true;
}

/// The main attempt goes on alone.
void RelayReducer::endSecondAttempt(Call& call, Context& context)
{
    call.second.reset();
    continueAnswer(call, context);
}

RelayReducer::MoveResult RelayReducer::reroute(Call& call, const std::vector<BackendId>& excluded, Context& context)
{
    Attempt& attempt = call.main;
    const bool leavesFirstStage = std::find(excluded.begin(), excluded.end(), attempt.server) != excluded.end();
    if (!attempt.pendingReroute.hops().empty())
        return MoveResult::Pending;
    const FleetServer* first = m_fleet.find(attempt.server);
    const bool acceptsReroutes = !first || !first->refusedCheck;
    if (m_options.without.has(Mechanism::Reroutes) || awaitsCrashVerdict(call) || leavesFirstStage || !acceptsReroutes
        || attempt.rerouteCount >= m_options.mostReroutes)
        return MoveResult::Impossible;
    auto chain = m_placer.reroute(call, attempt, excluded, context.now, context.entropy);
    if (!chain)
        return MoveResult::Impossible;
    if (awaitsCheck(*chain, context))
        return MoveResult::Pending;
    ++attempt.rerouteCount;
    ++m_counters.rerouted;
    // The new stages need the room from now on; the old ones are given free when the order is answered.
    m_fleet.book(*chain, call.tokens);
    attempt.pendingReroute = *chain;
    call.lastProgress = context.now;
    context.effects.emplace_back(
        effect::RerouteAttempt { attempt.id, call.id, attempt.chain.hops().front().address, *std::move(chain) });
    return MoveResult::Ordered;
}

void RelayReducer::on(const event::RerouteAnswered& answered, Context& context)
{
    Call* call = findByAttempt(answered.attempt);
    if (!call)
        return;
    Attempt& attempt = call->attempt(answered.attempt);
    if (attempt.pendingReroute.hops().empty())
        return;
    if (!answered.accepted)
        ++m_counters.reroutesRefused;
    m_fleet.unbook(answered.accepted ? attempt.chain : attempt.pendingReroute, call->tokens);
    if (answered.accepted) {
        attempt.chain = attempt.pendingReroute;
        attempt.hasLostStage = hasEndedStage(attempt.chain);
    }
    attempt.pendingReroute = Chain();
    const bool canContinue = answered.accepted || !attempt.hasLostStage || call->second;
    if (!canContinue)
        replaceOrEndAttempt(*call, context);
}

bool RelayReducer::isStalled(const Call& call, TimePoint now) const
{
    const Duration sinceProgress = now - call.lastProgress;
    if (!isStream(call.route->kind))
        return sinceProgress > scaled(call.route->objective, m_options.slowCallFactor);
    if (!call.main.eventsDelivered)
        return sinceProgress > m_options.firstEventLimit;
    return sinceProgress > std::max(m_options.minStall, scaled(call.meanEventGap, m_options.stallFactor));
}

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
