#include "relay/RelayReducer.h"

#include "relay/ScaledDuration.h"

#include <algorithm>

namespace crocusmount::relay {

namespace {

    /// Status of a server that is not the one expected, or does not hold the layers that it was asked for.
    constexpr unsigned Misdirected = 421;
    /// A retry that waits for room gives up after this; by then the caller's own limit is near.
    constexpr Duration MaxRetryWait = std::chrono::milliseconds(800);
    /// Calls that wait for the first configuration; an instance that starts late takes no more.
    constexpr std::size_t MaxEarlyCalls = 256;
    /// Weight of one gap in a stream's usual one.
    constexpr double EventGapWeight = 0.2;

    Reason reasonOf(AttemptResult result)
    {
        switch (result) {
        case AttemptResult::NotRun:
            return Reason::RefusedByBackend;
        case AttemptResult::ConnectFailed:
            return Reason::ConnectFailed;
        case AttemptResult::ServerFailure:
            return Reason::ServerFailure;
        default:
            return Reason::ConnectionLost;
        }
    }

} // namespace

const char* toString(AttemptResult result)
{
    switch (result) {
    case AttemptResult::Completed:
        return "completed";
    case AttemptResult::ServerFailure:
        return "server_failure";
    case AttemptResult::NotRun:
        return "not_run";
    case AttemptResult::ConnectFailed:
        return "connect_failed";
    case AttemptResult::Broken:
        return "broken";
    }
    return "unknown";
}

RelayReducer::RelayReducer(RelayOptions options)
    : m_options(std::move(options))
    , m_placer(m_options, m_fleet)
{
}

void RelayReducer::reduce(const RelayEvent& event, RelayEffects& effects)
{
    Context context { event.now, event.entropy, effects };
    if (!m_startedAt)
        m_startedAt = event.now;
    m_now = event.now;
    std::visit([&](const auto& body) { on(body, context); }, event.body);
}

std::size_t RelayReducer::waitingCalls() const
{
    std::size_t waiting = 0;
    for (const auto& [service, queue] : m_services)
        waiting += queue.waiting().size();
    return waiting;
}

Call* RelayReducer::findByAttempt(AttemptId id)
{
    const auto attempt = m_attempts.find(id);
    return attempt == m_attempts.end() ? nullptr : &m_calls.at(attempt->second);
}

// ---- What is known -------------------------------------------------------------------------------------------------

void RelayReducer::on(const event::ConfigurationAccepted& accepted, Context& context)
{
    if (m_routes && accepted.routes->configuration().version <= m_routes->configuration().version)
        return;
    m_routes = accepted.routes;
    ++m_counters.configurationsAccepted;
    for (const auto& [id, server] : std::exchange(m_unusable, {}))
        registerServer(server, context);
    dispatchAll(context);
}

void RelayReducer::on(const event::InstancesCounted& counted, Context&)
{
    m_placer.setInstances(std::max(1U, counted.instances));
    for (auto& [service, budget] : m_budgets)
        budget.setBurst(retryBurst());
}

void RelayReducer::on(const event::StoreCopyChecked& checked, Context&) { m_isStoreCopyOutdated = checked.isOutdated; }

void RelayReducer::on(const event::LoadsReported& reported, Context& context)
{
    const bool used = !m_options.without.has(Mechanism::LoadExchange);
    m_fleet.setOthersLoad(used ? reported.loads : std::nullopt, context.now);
    checkAvoidedEngines(context);
}

void RelayReducer::on(const event::DrainRequested&, Context& context)
{
    if (!m_drainRequestedAt)
        m_drainRequestedAt = context.now;
}

// ---- A call's life -------------------------------------------------------------------------------------------------

std::optional<Reason> RelayReducer::admit(Call& call, const Context& context) const
{
    if (!m_routes)
        return Reason::NotConfigured;
    call.routes = m_routes;
    call.route = m_routes->route(call.spec.host, call.spec.path);
    // Callers do not retry after UnknownRoute or UnknownKey, so an outdated configuration must not produce them.
    if (!call.route)
        return m_isStoreCopyOutdated ? Reason::NotConfigured : Reason::UnknownRoute;
    if (m_drainRequestedAt && context.now > *m_drainRequestedAt + m_options.lastCall)
        return Reason::Draining;
    call.rank = call.route->rank;
    if (!m_routes->configuration().workspaces.empty() && !call.route->anonymous) {
        const KeyHolder* holder = m_routes->holderOf(call.spec.key);
        if (!holder)
            return m_isStoreCopyOutdated ? Reason::NotConfigured : Reason::UnknownKey;
        call.workspace = holder->workspace;
        call.rank = holder->rank.value_or(call.rank);
    }
    call.identity = { call.workspace, call.spec.content };
    if (m_quarantine.isQuarantined(call.identity, context.now))
        return Reason::CrashesServers;
    call.service = RouteTable::pickService(*call.route, context.entropy);
    return std::nullopt;
}

void RelayReducer::on(const event::CallArrived& arrival, Context& context)
{
    ++m_counters.calls;
    if (!m_routes && m_earlyCalls.size() < MaxEarlyCalls) {
        const Duration patience = arrival.spec.patience;
        const Duration wait = patience.count() > 0
            ? std::min(m_options.configurationWait, scaled(patience, m_options.configurationWaitShare))
            : m_options.configurationWait;
        m_earlyCalls.push_back({ arrival, context.now, context.now + wait });
        return;
    }
    admitOrRefuse(arrival, context.now, context);
}

void RelayReducer::admitOrRefuse(const event::CallArrived& arrival, TimePoint arrived, Context& context)
{
    Call call;
    call.id = arrival.call;
    call.spec = arrival.spec;
    call.arrived = arrived;
    if (const auto refusal = admit(call, context)) {
        ++m_counters.refused.at(static_cast<std::size_t>(*refusal));
        context.effects.emplace_back(
            effect::Refuse { call.id, *refusal, RunState::NotRun, retryAfterFor(*refusal, context) });
        return;
    }
    const Route& route = *call.route;
    const Duration patience = call.spec.patience.count() > 0 ? call.spec.patience : route.timeout;
    call.deadline = arrived + std::min(patience, route.timeout);
    call.waitUntil = context.now + scaled(route.objective, m_options.queueWaitShare);
    const std::uint32_t expected
        = call.spec.expectedAnswerTokens ? call.spec.expectedAnswerTokens : call.spec.maxAnswerTokens;
    call.tokens = call.spec.promptTokens + expected;
    call.lastEventId = call.spec.resumeAfter.value_or(0);
    budgetOf(call.service).earn();
    Call& stored = m_calls.emplace(call.id, std::move(call)).first->second;
    if (awaitsCrashVerdict(stored)) {
        holdCall(stored, context);
        return;
    }
    FairQueue& waiting = queueOf(stored).waiting();
    if (waiting.empty() && place(stored, context))
        return;
    if (context.now + queueOf(stored).expectedWait() > stored.waitUntil) {
        finishUnanswered(stored, Reason::NoCapacity, context);
        return;
    }
    waiting.push(stored.workspace, 1, -stored.rank, { stored.id, std::max(1.0, stored.tokens) });
    dispatch(waiting, context);
}

void RelayReducer::on(const event::CallerLeft& left, Context& context)
{
    std::erase_if(m_earlyCalls, [&](const EarlyCall& waiting) { return waiting.arrival.call == left.call; });
    const auto found = m_calls.find(left.call);
    if (found == m_calls.end())
        return;
    ++m_counters.callersLeft;
    keepOnly(found->second, AttemptId(), context);
    remove(left.call);
    dispatchAll(context);
}

void RelayReducer::on(const event::AttemptSent& sent, Context&)
{
    Call* call = findByAttempt(sent.attempt);
    if (!call)
        return;
    call->attempt(sent.attempt).wasSent = true;
}

void RelayReducer::on(const event::AnswerBegun& begun, Context& context)
{
    Call* call = findByAttempt(begun.attempt);
    if (!call)
        return;
    Attempt& attempt = call->attempt(begun.attempt);
    attempt.answerBegunAt = context.now;
    m_fleet.answerBegun(attempt.server, attempt.chain, context.now);
}

void RelayReducer::on(const event::EventDelivered& delivered, Context& context)
{
    Call* call = findByAttempt(delivered.attempt);
    if (!call)
        return;
    keepOnly(*call, delivered.attempt, context);
    if (!call->main.eventsDelivered && !call->main.isFirstEventLate && !call->hasAvoidedServers()) {
        const double ratio = std::chrono::duration<double>(context.now - call->main.startedAt)
            / std::chrono::duration<double>(call->route->objective);
        queueOf(*call).limit().answered(ratio, queueOf(*call).running(), context.now);
    } else if (call->main.eventsDelivered) {
        call->meanEventGap += scaled(context.now - call->lastProgress - call->meanEventGap, EventGapWeight);
    }
    if (!call->main.eventsDelivered)
        m_fleet.accepted(call->main.chain, context.now);
    ++call->main.eventsDelivered;
    call->hasPartialAnswer = true;
    call->lastEventId = delivered.eventId;
    call->lastProgress = context.now;
    call->lastDeliveredAt = context.now;
    m_fleet.progressed(call->main.chain, context.now);
    const TimePoint begun = call->main.answerBegunAt.value_or(call->main.startedAt);
    if (!call->hasRunSoundly && context.now - begun >= SoundRun)
        recordSoundRequest(*call, context);
}

void RelayReducer::on(const event::AttemptEnded& ended, Context& context)
{
    Call* found = findByAttempt(ended.attempt);
    if (!found)
        return;
    Call& call = *found;
    if (ended.result == AttemptResult::Completed) {
        keepOnly(call, ended.attempt, context);
        m_fleet.succeeded(call.main.server);
        recordSoundRequest(call, context);
        release(call, call.main, context);
        ++m_counters.completed;
        remove(call.id);
        dispatchAll(context);
        return;
    }
    const bool wasSecond = call.second && call.second->id == ended.attempt;
    const Attempt attempt = wasSecond ? *call.second : call.main;
    recordFailedAttempt(attempt, call, ended, context);
    release(call, attempt, context);
    if (ended.result == AttemptResult::ConnectFailed || ended.result == AttemptResult::NotRun) {
        ++call.rejections;
    } else {
        call.mayHaveRunOn.push_back(attempt.server);
        call.mayHaveRun = call.mayHaveRun || attempt.wasSent;
    }
    if (call.second) {
        // The other attempt goes on.
        if (!wasSecond)
            call.main = *call.second;
        endSecondAttempt(call, context);
    } else {
        call.addAvoided(blamedServer(attempt, ended));
        retryOrFinish(call, reasonOf(ended.result), context);
    }
    dispatchAll(context);
}

/// @return the stage that the answer names, else the server that was asked
BackendId RelayReducer::blamedServer(const Attempt& attempt, const event::AttemptEnded& ended)
{
    const FleetServer* named = ended.culprit.empty() ? nullptr : m_fleet.findByAddress(ended.culprit);
    return named ? named->entry.id : attempt.server;
}

/// Room at the other engines does not shrink with the death of one: such rejections say nothing of an overload.
bool RelayReducer::mayBeDead(const BackendId& id, TimePoint now)
{
    const FleetServer* server = m_fleet.find(id);
    return !server || server->beingChecked || server->isDead(now);
}

void RelayReducer::recordFailedAttempt(
    const Attempt& attempt, const Call& call, const event::AttemptEnded& ended, Context& context)
{
    const BackendId blamed = blamedServer(attempt, ended);
    switch (ended.result) {
    case AttemptResult::NotRun:
        checkNamedEngine(attempt, ended, context);
        if (ended.status == Misdirected) {
            // It does not hold what is registered: no call will do better until its entry changes.
            m_fleet.suspect(blamed, context.now + m_options.suspicion);
            return;
        }
        if (!mayBeDead(blamed, context.now))
            queueOf(call).limit().rejected(queueOf(call).running(), context.now);
        m_fleet.turnedAway(blamed, context.now);
        return;
    case AttemptResult::ConnectFailed:
    case AttemptResult::Broken:
        m_fleet.failed(blamed, context.now);
        if (ended.result == AttemptResult::Broken)
            recordLostAttempt(call, attempt, context);
        // One whose process has ended refuses the check too, and all are told.
        if (FleetServer* server = m_fleet.find(blamed); server && ended.result == AttemptResult::ConnectFailed)
            checkUrgently(*server, context);
        return;
    default:
        // Some calls fail by their nature; that tells nothing of the server.
        return;
    }
}

/// @return attempts that the route's limit counts. An answer under way may go on at another server for each that has
/// left since.
std::uint32_t RelayReducer::countedAttempts(const Call& call) const
{
    const auto counts = [&](const BackendId& id) { return !call.hasPartialAnswer || !m_fleet.hasLeft(id); };
    return static_cast<std::uint32_t>(std::count_if(call.mayHaveRunOn.begin(), call.mayHaveRunOn.end(), counts));
}

/// @return what forbids another attempt at the call, whatever the budget; nothing: it may be tried again
std::optional<RetryLimit> RelayReducer::retryLimit(const Call& call, const Context& context) const
{
    if (call.mayHaveRun && !isRepeatable(call.route->kind))
        return RetryLimit::NotRepeatable;
    if (countedAttempts(call) >= call.route->maxAttempts)
        return RetryLimit::Attempts;
    // An answer that ends midway is worth more tries: the budget and the caller's patience bound them.
    if (!call.hasPartialAnswer && call.rejections >= m_options.mostRejections)
        return RetryLimit::Rejections;
    if (context.now >= call.deadline)
        return RetryLimit::Deadline;
    return std::nullopt;
}

void RelayReducer::retryOrFinish(Call& call, Reason reason, Context& context)
{
    if (m_quarantine.isQuarantined(call.identity, context.now)) {
        finishUnanswered(call, Reason::CrashesServers, context);
        return;
    }
    std::optional<RetryLimit> limit = retryLimit(call, context);
    // A server that ran it may leave while the caller waits.
    if (call.hasPartialAnswer && (!limit || *limit == RetryLimit::Attempts)) {
        interrupt(call, reason, context);
        return;
    }
    if (!limit && (isRetryReserved(call.service) || !budgetOf(call.service).spend()))
        limit = RetryLimit::Budget;
    if (!limit) {
        ++m_counters.retried.at(static_cast<std::size_t>(reason));
        if (awaitsCrashVerdict(call))
            holdCall(call, context);
        else
            requeue(call, context);
        return;
    }
    if (reason == Reason::ServerFailure && !call.hasPartialAnswer) {
        ++m_counters.retriesDenied.at(static_cast<std::size_t>(*limit));
        context.effects.emplace_back(effect::DeliverServerFailure { call.id });
        remove(call.id);
        return;
    }
    finishUnanswered(call, reason, context, limit);
}

/// Has a call that was running wait for another server, before those that came after it.
void RelayReducer::requeue(Call& call, Context& context)
{
    call.waitUntil = std::min(call.deadline, context.now + MaxRetryWait);
    call.state = CallState::Waiting;
    if (!place(call, context))
        queueOf(call).waiting().pushFront(call.workspace, 1, -call.rank, call.id);
}

void RelayReducer::finishUnanswered(Call& call, Reason reason, Context& context, std::optional<RetryLimit> limit)
{
    ++m_counters.refused.at(static_cast<std::size_t>(reason));
    if (limit)
        ++m_counters.retriesDenied.at(static_cast<std::size_t>(*limit));
    if (call.hasPartialAnswer) {
        context.effects.emplace_back(effect::BreakAnswer { call.id, reason, limit });
    } else {
        const RunState run = call.mayHaveRun ? RunState::MayHaveRun : RunState::NotRun;
        const Duration retryAfter = reason == Reason::NoCapacity ? retryAfterShortage(queueOf(call), context)
                                                                 : retryAfterFor(reason, context);
        context.effects.emplace_back(effect::Refuse { call.id, reason, run, retryAfter, limit });
    }
    remove(call.id);
}

void RelayReducer::cancel(Call& call, const Attempt& attempt, CancelCause cause, Context& context)
{
    context.effects.emplace_back(effect::CancelAttempt { attempt.id, cause });
    if (mayBeDead(attempt.server, context.now))
        recordLostAttempt(call, attempt, context);
    call.mayHaveRun = call.mayHaveRun || attempt.wasSent;
    call.mayHaveRunOn.push_back(attempt.server);
    release(call, attempt, context);
}

/// Cancels the call's attempts but for one, which becomes the main one.
void RelayReducer::keepOnly(Call& call, AttemptId kept, Context& context)
{
    if (call.state != CallState::Running)
        return;
    const CancelCause cause = kept == AttemptId() ? CancelCause::CallEnded : CancelCause::Superseded;
    if (call.second && call.second->id != kept) {
        cancel(call, *call.second, cause, context);
        endSecondAttempt(call, context);
    }
    if (call.main.id == kept)
        return;
    cancel(call, call.main, cause, context);
    if (call.second) {
        call.main = *call.second;
        call.second.reset();
        ++m_counters.resumed;
    }
}

void RelayReducer::release(Call& call, const Attempt& attempt, Context& context)
{
    m_attempts.erase(attempt.id);
    queueOf(call).ended(context.now);
    if (attempt.chain.hops().empty()) {
        if (FleetServer* server = m_fleet.find(attempt.server); server && server->ownCalls)
            --server->ownCalls;
        return;
    }
    m_fleet.unbook(attempt.chain, call.tokens);
    if (!attempt.pendingReroute.hops().empty())
        m_fleet.unbook(attempt.pendingReroute, call.tokens);
}

void RelayReducer::remove(RequestId id)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    if (found->second.state == CallState::Waiting)
        queueOf(found->second).waiting().erase(id);
    m_interrupted.erase(id);
    m_calls.erase(found);
}

} // namespace crocusmount::relay
