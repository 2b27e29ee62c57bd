// How RelayReducer brings answers to their end whose server leaves or is lost.
//
// The load pattern that this answers: engines are replaced one after the other while dozens of streams run at each. A
// first stage cannot be replaced within a run: its streams go on by an attempt at another chain, which has to read the
// prompt and all that was written, while the leaving engine sends the next event within some tens of milliseconds. The
// engines that remain are full and turn some of these attempts away.

#include "relay/RelayReducer.h"
#include "relay/ScaledDuration.h"
#include "relay/Spread.h"

#include <algorithm>

namespace crocusmount::relay {

namespace {

    /// Part of the delay before the first streams move over which the others follow.
    constexpr double MoveSpread = 0.5;
    /// Between two tries to move one stream.
    constexpr Duration MoveInterval = std::chrono::milliseconds(400);
    /// Attempts beside a stream whose server leaves; each is a retry.
    constexpr std::uint32_t MostMoves = 4;
    /// How long an answer is held back for the attempt that is to go on with it. Callers wait two seconds for an event.
    constexpr Duration LongestAnswerHold = std::chrono::milliseconds(1000);
    /// Shortest pause in an answer after which callers leave.
    constexpr Duration CallerPatience = std::chrono::milliseconds(2000);
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
        const std::vector<BackendId> away = stagesToLeave(call, context.now);
        used.insert(away.begin(), away.end());
        if (!away.empty() && !call.second && call.main.reroute.hops().empty() && context.now >= call.main.nextMove)
            moveOff(call, away, context);
    }
    std::erase_if(m_moveOffAt, [&](const auto& each) { return context.now >= each.second && !used.count(each.first); });
}

/// A later stage is replaced; a first stage cannot be, and the stream goes on at another chain.
void RelayReducer::moveOff(Call& call, const std::vector<BackendId>& away, Context& context)
{
    Attempt& attempt = call.main;
    attempt.nextMove = context.now + MoveInterval;
    if (reroute(call, away, context) != Moving::Impossible || !isRepeatable(call.route->kind))
        return;
    // An engine that only gives up layers ends its streams first.
    const bool isUrgent = std::any_of(away.begin(), away.end(), [&](const BackendId& id) { return isLeaving(id); });
    const bool firstGoes = std::find(away.begin(), away.end(), attempt.server) != away.end();
    if (!isUrgent && (!firstGoes || attempt.moves))
        return;
    if (isUrgent && !attempt.moves) {
        // Streams that leave an engine at one moment would wait for each other's prompts at the next.
        const TimePoint from = m_moveOffAt.at(away.front());
        const TimePoint due = from + scaled(m_options.rerouteDelay, MoveSpread * spread(call.id.value(), 0));
        if (context.now < due) {
            attempt.nextMove = due;
            return;
        }
    }
    if (attempt.moves >= MostMoves || !startSecond(call, AttemptPurpose::Leaving, context))
        return;
    ++attempt.moves;
    holdAnswer(call, context);
}

/// The other attempt goes on after the last delivered event: each further one of the main attempt would put it out of
/// use, so that it could never win against a server that still sends.
void RelayReducer::holdAnswer(Call& call, Context& context)
{
    if (!call.answering)
        return;
    call.main.heldUntil = context.now + LongestAnswerHold;
    context.effects.emplace_back(effect::HoldAnswer { call.main.id });
}

void RelayReducer::continueAnswer(Call& call, Context& context)
{
    if (!call.main.heldUntil)
        return;
    call.main.heldUntil.reset();
    call.lastProgress = context.now;
    context.effects.emplace_back(effect::ContinueAnswer { call.main.id });
}

void RelayReducer::releaseOverdueAnswer(Call& call, Context& context)
{
    if (call.main.heldUntil && context.now >= *call.main.heldUntil)
        keepOnly(call, call.main.id, context);
}

/// The server of an answer that the caller has a part of is lost. It goes on at the first server with room while the
/// caller waits for it.
void RelayReducer::interrupt(Call& call, Reason reason, Context& context)
{
    call.state = CallState::Waiting;
    call.interruption = reason;
    call.waitUntil = std::min(call.deadline, call.lastDelivered + CallerPatience);
    call.nextResume = context.now;
    if (!resume(call, context))
        m_interrupted.insert(call.id);
}

bool RelayReducer::resume(Call& call, Context& context)
{
    if (context.now < call.nextResume)
        return false;
    call.nextResume = context.now + ResumeInterval;
    RetryBudget& budget = budgetOf(call.service);
    if (awaitsVerdict(call) || retryLimit(call, context) || !budget.hasOne() || !place(call, context))
        return false;
    budget.spend();
    ++m_counters.retried.at(static_cast<std::size_t>(*call.interruption));
    call.interruption.reset();
    return true;
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
