// How RelayReducer completes answers whose server leaves or is lost.
//
// Load pattern: engines are replaced one after the other while dozens of streams run at each of them. A first stage
// cannot be replaced by a reroute. Its streams need a new attempt at another chain, which has to read the prompt and
// all text written so far, while the old engine sends the next event within tens of milliseconds. The remaining engines
// are full and reject some of these attempts.

#include "relay/CallerPatience.h"
#include "relay/RelayReducer.h"

#include <algorithm>

namespace crocusmount::relay {

namespace {

    /// Time between two attempts to move one stream. An engine without room takes it only at the cost of other calls.
    constexpr Duration MoveInterval = std::chrono::seconds(10);
    /// Longest time that an answer is held back for the attempt that will continue it. Callers wait two seconds for an
    /// event.
    constexpr Duration MaxAnswerHold = std::chrono::milliseconds(1000);
    /// Time between two searches for a server that can continue an interrupted answer.
    constexpr Duration ResumeInterval = std::chrono::milliseconds(20);

} // namespace

/// @return whether a server is leaving or no longer registered
bool RelayReducer::isLeaving(const BackendId& id) const
{
    const auto server = m_fleet.servers().find(id);
    return server == m_fleet.servers().end() || server->second.entry.leaving;
}

/// @return whether a stage's engine leaves, or no longer holds all layers that the stage runs
bool RelayReducer::mustLeave(const Hop& hop) const
{
    if (isLeaving(hop.backend))
        return true;
    const LayerRange& held = m_fleet.servers().at(hop.backend).entry.layers;
    return held.begin > hop.layers.begin || held.end < hop.layers.end;
}

/// @return the stages of the main attempt that the call should have left by now
std::vector<BackendId> RelayReducer::stagesToLeave(const Call& call, TimePoint now) const
{
    std::vector<BackendId> stages;
    for (const Hop& hop : call.main.chain.hops()) {
        const auto due = m_moveOffAt.find(hop.backend);
        if (due != m_moveOffAt.end() && now >= due->second && mustLeave(hop))
            stages.push_back(hop.backend);
    }
    return stages;
}

/// Moves running calls off stages that leave or give up layers, once the time for it has come.
void RelayReducer::moveOffLeaving(Context& context)
{
    if (m_moveOffAt.empty())
        return;
    std::set<BackendId> used;
    for (auto& [id, call] : m_calls) {
        if (call.state != CallState::Running || call.main.unprovenEnd)
            continue;
        const std::vector<BackendId> stages = stagesToLeave(call, context.now);
        used.insert(stages.begin(), stages.end());
        if (!stages.empty() && !call.second && call.main.pendingReroute.hops().empty()
            && context.now >= call.main.nextMoveAt)
            moveOff(call, stages, context);
    }
    // An engine that only gives up layers completes its streams first. Those that could not be moved at once stay,
    // since they are better off there than on a full engine.
    std::erase_if(m_moveOffAt, [&](const auto& each) {
        return context.now >= each.second && (!used.count(each.first) || !isLeaving(each.first));
    });
}

/// Moves a running call off stages.
///
/// Later stages are replaced by a reroute. A first stage cannot be replaced. If it only gives up layers, a second
/// attempt continues the stream at another chain, so that the engine can load its new layers. If the first stage
/// leaves, the stream stays: most streams end before the server does, the others are resumed then, and a move would
/// cost each a retry and a pause.
/// @param excluded  stages to move off
void RelayReducer::moveOff(Call& call, const std::vector<BackendId>& excluded, Context& context)
{
    call.main.nextMoveAt = context.now + MoveInterval;
    if (reroute(call, excluded, context) != MoveResult::Impossible || !isRepeatable(call.route->kind))
        return;
    const bool leavesFirstStage = std::find(excluded.begin(), excluded.end(), call.main.server) != excluded.end();
    const bool anyLeaves
        = std::any_of(excluded.begin(), excluded.end(), [&](const BackendId& id) { return isLeaving(id); });
    if (leavesFirstStage && !anyLeaves && startSecondAttempt(call, AttemptPurpose::Leaving, context))
        holdAnswer(call, context);
}

/// Holds back the events of the main attempt. The second attempt resumes after the last delivered event, so any further
/// event of the main attempt would make it useless, and it could never replace a server that still sends.
void RelayReducer::holdAnswer(Call& call, Context& context)
{
    if (!call.hasPartialAnswer)
        return;
    call.main.answerHeldUntil = context.now + MaxAnswerHold;
    context.effects.emplace_back(effect::HoldAnswer { call.main.id });
}

/// Delivers the events of the main attempt again, if they are held back.
void RelayReducer::continueAnswer(Call& call, Context& context)
{
    if (!call.main.answerHeldUntil)
        return;
    call.main.answerHeldUntil.reset();
    call.lastProgress = context.now;
    context.effects.emplace_back(effect::ContinueAnswer { call.main.id });
}

/// Keeps the main attempt if its answer was held back for too long.
void RelayReducer::releaseOverdueAnswer(Call& call, Context& context)
{
    if (call.main.answerHeldUntil && context.now >= *call.main.answerHeldUntil)
        keepOnly(call, call.main.id, context);
}

/// Interrupts a partly delivered answer whose attempt has ended. It resumes at the first server with capacity, unless
/// the caller gives up before.
void RelayReducer::interrupt(Call& call, Reason reason, Context& context)
{
    call.state = CallState::Waiting;
    call.interruptionReason = reason;
    const Route& route = *call.route;
    const Duration patience = callerPatience(m_options.streamPatience, route.objective, route.pauseAim);
    call.waitUntil = std::min(call.deadline, call.lastDeliveredAt + patience);
    call.nextResumeAt = context.now;
    if (!resume(call, context))
        m_interrupted.insert(call.id);
}

/// Tries to resume an interrupted answer.
/// @return whether an attempt was started
bool RelayReducer::resume(Call& call, Context& context)
{
    if (context.now < call.nextResumeAt)
        return false;
    call.nextResumeAt = context.now + ResumeInterval;
    RetryBudget& budget = budgetOf(call.service);
    call.waitsForRetryBudget = !budget.hasToken();
    if (call.waitsForRetryBudget || awaitsCrashVerdict(call) || retryLimit(call, context) || !place(call, context))
        return false;
    budget.spend();
    ++m_counters.retried.at(static_cast<std::size_t>(*call.interruptionReason));
    call.interruptionReason.reset();
    return true;
}

/// Gives interrupted answers precedence for retries. A refused caller can retry, but an answer that is broken off loses
/// all text written so far.
/// @return whether an interrupted answer of the service waits for the retry budget
bool RelayReducer::isRetryReserved(const ServiceId& service) const
{
    return std::any_of(m_interrupted.begin(), m_interrupted.end(), [&](const RequestId& id) {
        const Call& call = m_calls.at(id);
        return call.waitsForRetryBudget && call.service == service;
    });
}

/// Tries to resume each interrupted answer.
void RelayReducer::resumeInterrupted(Context& context)
{
    std::vector<RequestId> resumed;
    for (const RequestId& id : m_interrupted) {
        if (resume(m_calls.at(id), context))
            resumed.push_back(id);
    }
    for (const RequestId& id : resumed)
        m_interrupted.erase(id);
}

} // namespace crocusmount::relay
