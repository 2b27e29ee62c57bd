// How RelayReducer brings answers to their end whose server leaves or is lost.
//
// The load pattern that this answers: engines are replaced one after the other while dozens of streams run at each. A
// first stage cannot be replaced within a run: its streams go on by an attempt at another chain, which has to read the
// prompt and all that was written, while the engine sends the next event within some tens of milliseconds. The engines
// that remain are full and turn some of these attempts away.

#include "relay/RelayReducer.h"

#include <algorithm>

namespace crocusmount::relay {

namespace {

    /// Between two tries to move one stream: an engine that had no room would take it only at the cost of others.
    constexpr Duration MoveInterval = std::chrono::seconds(10);
    /// How long an answer is held back for the attempt that is to go on with it. Callers wait two seconds for an event.
    constexpr Duration MaxAnswerHold = std::chrono::milliseconds(1000);
    /// Shortest pause in an answer after which callers leave.
    constexpr Duration CallerEventTimeout = std::chrono::milliseconds(2000);
    /// Between two searches for a server that could go on with an answer.
    constexpr Duration ResumeInterval = std::chrono::milliseconds(20);

} // namespace

/// @return whether a server is about to go, or has gone
bool RelayReducer::isLeaving(const BackendId& id) const
{
    const auto server = m_fleet.servers().find(id);
    return server == m_fleet.servers().end() || server->second.entry.leaving;
}

/// @return whether a stage's engine leaves, or gives up layers that the stage runs
bool RelayReducer::mustLeave(const Hop& hop) const
{
    if (isLeaving(hop.backend))
        return true;
    const LayerRange& held = m_fleet.servers().at(hop.backend).entry.layers;
    return held.begin > hop.layers.begin || held.end < hop.layers.end;
}

/// @return the stages that the call should leave by now
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

void RelayReducer::moveOffLeaving(Context& context)
{
    if (m_moveOffAt.empty())
        return;
    std::set<BackendId> used;
    for (auto& [id, call] : m_calls) {
        if (call.state != CallState::Running)
            continue;
        const std::vector<BackendId> excluded = stagesToLeave(call, context.now);
        used.insert(excluded.begin(), excluded.end());
        if (!excluded.empty() && !call.second && call.main.pendingReroute.hops().empty()
            && context.now >= call.main.nextMoveAt)
            moveOff(call, excluded, context);
    }
    // An engine that only gives up layers ends its streams first: they are better off there than on a full one.
    std::erase_if(m_moveOffAt, [&](const auto& each) {
        return context.now >= each.second && (!used.count(each.first) || !isLeaving(each.first));
    });
}

/// A later stage is replaced. A first stage cannot be: where it only gives up layers the stream goes on at another
/// chain, and the engine is free for its new ones. A stream whose first stage leaves stays: most end before the server
/// does, the others are resumed then, and a move would cost each a retry and a pause.
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

/// The other attempt goes on after the last delivered event: each further one of the main attempt would put it out of
/// use, so that it could never win against a server that still sends.
void RelayReducer::holdAnswer(Call& call, Context& context)
{
    if (!call.hasPartialAnswer)
        return;
    call.main.answerHeldUntil = context.now + MaxAnswerHold;
    context.effects.emplace_back(effect::HoldAnswer { call.main.id });
}

void RelayReducer::continueAnswer(Call& call, Context& context)
{
    if (!call.main.answerHeldUntil)
        return;
    call.main.answerHeldUntil.reset();
    call.lastProgress = context.now;
    context.effects.emplace_back(effect::ContinueAnswer { call.main.id });
}

void RelayReducer::releaseOverdueAnswer(Call& call, Context& context)
{
    if (call.main.answerHeldUntil && context.now >= *call.main.answerHeldUntil)
        keepOnly(call, call.main.id, context);
}

/// The server of an answer that the caller has a part of is lost. It goes on at the first server with room while the
/// caller waits for it.
void RelayReducer::interrupt(Call& call, Reason reason, Context& context)
{
    call.state = CallState::Waiting;
    call.interruptionReason = reason;
    call.waitUntil = std::min(call.deadline, call.lastDeliveredAt + CallerEventTimeout);
    call.nextResumeAt = context.now;
    if (!resume(call, context))
        m_interrupted.insert(call.id);
}

bool RelayReducer::resume(Call& call, Context& context)
{
    if (context.now < call.nextResumeAt)
        return false;
    call.nextResumeAt = context.now + ResumeInterval;
    RetryBudget& budget = budgetOf(call.service);
    call.waitsForRetryBudget = !budget.hasOne();
    if (call.waitsForRetryBudget || awaitsCrashVerdict(call) || retryLimit(call, context) || !place(call, context))
        return false;
    budget.spend();
    ++m_counters.retried.at(static_cast<std::size_t>(*call.interruptionReason));
    call.interruptionReason.reset();
    return true;
}

/// A call that is refused can come back; an answer that ends midway is lost with all that was written.
/// @return whether the next retry of a service is for an answer that waits for one
bool RelayReducer::isRetryReserved(const ServiceId& service) const
{
    return std::any_of(m_interrupted.begin(), m_interrupted.end(), [&](const RequestId& id) {
        const Call& call = m_calls.at(id);
        return call.waitsForRetryBudget && call.service == service;
    });
}

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
