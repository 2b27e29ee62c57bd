#include "relay/RelayReducer.h"

#include "relay/ScaledDuration.h"

#include <algorithm>

namespace crocusmount::relay {

namespace {

    /// HTTP status of a server that is not the expected instance, or that does not hold the requested layers.
    constexpr unsigned Misdirected = 421;
    /// Longest time that a retry waits for capacity. The caller's own time limit is near by then.
    constexpr Duration MaxRetryWait = std::chrono::milliseconds(800);
    /// Weight of the latest gap in the moving average of a stream's gaps between events.
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
    case AttemptResult::Unproven:
        return "unproven";
    case AttemptResult::Broken:
        return "broken";
    }
    return "unknown";
}

RelayReducer::RelayReducer(RelayOptions options)
    : m_options(std::move(options))
    , m_placer(m_options, m_fleet)
    , m_start(m_options.streamPatience)
    , m_retryShare(m_options.retrySlack, m_options.retryWindow)
{
}

void RelayReducer::reduce(const RelayEvent& event, RelayEffects& effects)
{
    Context context { event.now, event.entropy, effects };
    if (!m_startedAt) {
        m_startedAt = event.now;
        m_start.started(event.now);
    }
    m_now = event.now;
    updateRetryShare(context);
    std::visit([&](const auto& body) { on(body, context); }, event.body);
}

std::size_t RelayReducer::waitingCalls() const
{
    std::size_t waiting = 0;
    for (const auto& [service, queue] : m_services)
        waiting += queue.waiting().size();
    return waiting;
}

/// @return the call of a running attempt, or null if the attempt is unknown or has ended
Call* RelayReducer::findByAttempt(AttemptId id)
{
    const auto attempt = m_attempts.find(id);
    return attempt == m_attempts.end() ? nullptr : &m_calls.at(attempt->second);
}

// ---- Configuration and load ----------------------------------------------------------------------------------------

void RelayReducer::on(const event::ConfigurationAccepted& accepted, Context& context)
{
    if (m_routes && accepted.routes->configuration().version <= m_routes->configuration().version)
        return;
    m_routes = accepted.routes;
    m_start.configured(context.now);
    m_runTimes.forgetOthersThan(m_routes->configuration().routes);
    ++m_counters.configurationsAccepted;
    for (const auto& [id, server] : std::exchange(m_unusable, {}))
        registerServer(server, context);
    dispatchAll(context);
}

void RelayReducer::on(const event::InstancesCounted& counted, Context& context)
{
    m_start.instancesCounted(counted.instances, context.now);
    m_placer.setInstances(std::max(1U, counted.instances));
    m_retryShare.instancesCounted(counted.instances, counted.isListed, context.now);
    updateRetryShare(context);
}

void RelayReducer::on(const event::LoadsReported& reported, Context& context)
{
    const bool isEnabled = !m_options.without.has(Mechanism::LoadExchange);
    m_start.loadsReported(isEnabled && reported.loads.has_value(), context.now);
    m_fleet.setOthersLoad(isEnabled ? reported.loads : std::nullopt, context.now);
    recordSilenceForAll(context.now);
    checkAvoidedEngines(context);
}

void RelayReducer::on(const event::MechanismsChanged& changed, Context&) { m_options.without = changed.disabled; }

// ---- Calls and attempts --------------------------------------------------------------------------------------------

/// Resolves route, workspace, rank and service of a call.
/// @return why the call is refused, or nothing if it is admitted
std::optional<Reason> RelayReducer::admit(Call& call, const Context& context) const
{
    if (!m_routes)
        return Reason::NotConfigured;
    call.routes = m_routes;
    call.route = m_routes->route(call.spec.host, call.spec.path);
    // Callers do not retry after UnknownRoute or UnknownKey, so an outdated configuration must not produce them.
    if (!call.route)
        return m_isStoreCopyOutdated ? Reason::NotConfigured : Reason::UnknownRoute;
    if (m_drainRequestedAt && !canEndBeforeExit(*call.route, context.now))
        return Reason::Draining;
    call.rank = call.route->rank;
    if (!m_routes->configuration().workspaces.empty() && !call.route->anonymous) {
        const WorkspaceKeys* holder = m_routes->workspaceByKey(call.spec.key);
        if (!holder)
            return m_isStoreCopyOutdated ? Reason::NotConfigured : Reason::UnknownKey;
        call.workspace = holder->workspace;
        call.rank = holder->rank.value_or(call.rank);
    }
    call.traits = traitsOf(call);
    if (m_quarantine.findQuarantined(call.traits, context.now))
        return Reason::CrashesServers;
    call.service = RouteTable::pickService(*call.route, context.entropy);
    return std::nullopt;
}

void RelayReducer::on(const event::CallArrived& arrival, Context& context)
{
    ++m_counters.calls;
    if (m_routes || !keepEarlyCall(arrival, context))
        admitOrRefuse(arrival, context.now, context);
}

/// Admits a call, then starts it, queues it, holds it for a crash verdict, or refuses it.
/// @param arrived  the call's deadline counts from this time, which is earlier than the event's for an early call
void RelayReducer::admitOrRefuse(const event::CallArrived& arrival, TimePoint arrived, Context& context)
{
    Call call;
    call.id = arrival.call;
    call.spec = arrival.spec;
    call.arrived = arrived;
    if (const auto refusal = admit(call, context)) {
        ++m_counters.refused.at(static_cast<std::size_t>(*refusal));
        refuse(call, *refusal, RunState::NotRun, retryAfterFor(*refusal, context), std::nullopt, context);
        return;
    }
    const Route& route = *call.route;
    const Duration callerTimeout = call.spec.callerTimeout.count() > 0 ? call.spec.callerTimeout : route.timeout;
    call.deadline = arrived + std::min(callerTimeout, route.timeout);
    call.waitUntil = context.now + scaled(route.objective, m_options.queueWaitShare);
    const std::uint32_t expected
        = call.spec.expectedAnswerTokens ? call.spec.expectedAnswerTokens : call.spec.maxAnswerTokens;
    call.tokens = call.spec.promptTokens + expected;
    call.lastEventId = call.spec.resumeAfter.value_or(0);
    if (isCutOff()) {
        ++m_counters.refused.at(static_cast<std::size_t>(Reason::NoPathToServers));
        context.effects.emplace_back(effect::Refuse {
            call.id, Reason::NoPathToServers, RunState::NotRun, retryAfterFor(Reason::NoPathToServers, context) });
        return;
    }
    budgetOf(call.service).addRequest();
    Call& stored = m_calls.emplace(call.id, std::move(call)).first->second;
    if (awaitsCrashVerdict(stored)) {
        holdCall(stored, context);
        return;
    }
    if (holdAtStart(stored, context))
        return;
    FairQueue& waiting = queueOf(stored).waiting();
    if (waiting.empty() && place(stored, context))
        return;
    if (const auto reason = restrictionOn(stored, waiting.size(), context)) {
        finishUnanswered(stored, *reason, context);
        return;
    }
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
    recordContactAnswered(attempt.server, attempt.startedAt, context);
    m_fleet.answerBegun(attempt.server, attempt.chain, context.now);
    const LifeEvidence evidence { LifeSign::Alive, EndProof::LaterAnswer, true };
    if (FleetServer* server = m_fleet.find(attempt.server); server && evidence.identifies(server->entry.startedAt))
        recordLifeSign(*server, attempt.startedAt, evidence, context);
    settleUnprovenEnds(attempt.server, attempt.startedAt, evidence, context, call->id);
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
        m_fleet.recordAccepted(call->main.chain, context.now);
    ++call->main.eventsDelivered;
    call->hasPartialAnswer = true;
    call->lastEventId = delivered.eventId;
    call->lastProgress = context.now;
    call->lastDeliveredAt = context.now;
    m_fleet.recordProgress(call->main.chain, context.now);
    const TimePoint begun = call->main.answerBegunAt.value_or(call->main.startedAt);
    if (!call->main.wasHarmless && context.now - begun >= MinHarmlessRun)
        recordHarmlessRequest(*call, context);
}

void RelayReducer::on(const event::AttemptEnded& ended, Context& context)
{
    if (ended.ending)
        countEnding(*ended.ending);
    if (ended.result == AttemptResult::ConnectFailed)
        ++m_counters.connectFailures.at(static_cast<std::size_t>(ended.connectFailure));
    Call* found = findByAttempt(ended.attempt);
    if (!found)
        return;
    Call& call = *found;
    if (ended.result == AttemptResult::Completed) {
        keepOnly(call, ended.attempt, context);
        completeCall(call, context);
        return;
    }
    if (ended.result == AttemptResult::Unproven) {
        if (call.main.id != ended.attempt && call.main.unprovenEnd)
            replaceUnproven(call, context);
        if (call.main.id == ended.attempt) {
            awaitEndProof(call, context);
            return;
        }
    }
    const bool wasSecond = call.second && call.second->id == ended.attempt;
    const Attempt attempt = wasSecond ? *call.second : call.main;
    if (ended.status)
        recordContactAnswered(attempt.server, attempt.startedAt, context);
    else if (ended.result == AttemptResult::ConnectFailed)
        recordContactFailed(attempt.server, attempt.startedAt, context);
    recordFailedAttempt(attempt, call, ended, context);
    release(call, attempt, context);
    if (ended.result == AttemptResult::ConnectFailed || ended.result == AttemptResult::NotRun) {
        ++call.rejections;
    } else {
        call.mayHaveRunOn.push_back(attempt.server);
        call.mayHaveRun = call.mayHaveRun || attempt.wasSent;
    }
    if (call.second) {
        // The other attempt continues.
        if (!wasSecond) {
            call.main = *call.second;
            call.lastProgress = std::max(call.lastProgress, call.main.startedAt);
        } else if (call.main.unprovenEnd) {
            call.addAvoided(blamedServer(attempt, ended));
        }
        endSecondAttempt(call, context);
    } else {
        call.addAvoided(blamedServer(attempt, ended));
        retryOrFinish(call, reasonOf(ended.result), context);
    }
    dispatchAll(context);
}

/// Forgets a call whose main attempt, the only one left, has answered it completely.
void RelayReducer::completeCall(Call& call, Context& context)
{
    m_fleet.recordSuccess(call.main.server);
    m_runTimes.record(call.route->id, context.now - call.arrived);
    recordHarmlessRequest(call, context);
    release(call, call.main, context);
    ++m_counters.completed;
    remove(call.id);
    dispatchAll(context);
}

void RelayReducer::countEnding(const AnswerEnding& ending)
{
    auto& stops = m_counters.answerEndings.at(static_cast<std::size_t>(ending.framing));
    ++stops.at(static_cast<std::size_t>(ending.stop));
    m_counters.eventsCutOff += ending.isInsideEvent ? 1 : 0;
}

/// @return the stage that the answer names as the cause of the failure, else the server of the attempt
BackendId RelayReducer::blamedServer(const Attempt& attempt, const event::AttemptEnded& ended)
{
    const FleetServer* named = ended.culprit.empty() ? nullptr : m_fleet.findByAddress(ended.culprit);
    return named ? named->entry.id : attempt.server;
}

/// The failure of one engine does not reduce the capacity of the others, so rejections by an engine that may be dead
/// must not lower the concurrency limit.
/// @return whether the server is unregistered, dead, or being checked
bool RelayReducer::mayBeDead(const BackendId& id, TimePoint now)
{
    const FleetServer* server = m_fleet.find(id);
    return !server || server->beingChecked || server->isDead(now);
}

/// Updates what is known of a server, and of the service's load, after an attempt that did not complete.
void RelayReducer::recordFailedAttempt(
    const Attempt& attempt, const Call& call, const event::AttemptEnded& ended, Context& context)
{
    const BackendId blamed = blamedServer(attempt, ended);
    switch (ended.result) {
    case AttemptResult::NotRun:
        checkNamedEngine(attempt, ended, context);
        if (ended.status == Misdirected) {
            // The server does not hold the layers that its entry lists, so all calls fail until the entry changes.
            m_fleet.setAvoidedUntil(blamed, context.now + m_options.stallAvoidance);
            return;
        }
        if (!mayBeDead(blamed, context.now))
            queueOf(call).limit().rejected(queueOf(call).running(), context.now);
        m_fleet.recordRejection(blamed, context.now);
        return;
    case AttemptResult::ConnectFailed:
    case AttemptResult::Unproven:
    case AttemptResult::Broken:
        m_fleet.recordFailure(blamed, context.now);
        if (ended.result != AttemptResult::ConnectFailed)
            recordLostAttempt(call, attempt, context);
        // If the process has ended, the check is refused too, and the result is shared with all instances.
        if (FleetServer* server = m_fleet.find(blamed); server && ended.result == AttemptResult::ConnectFailed)
            checkUrgently(*server, context);
        return;
    default:
        // A failure may be due to the call itself, so it does not count against the server.
        return;
    }
}

/// Counts the attempts that may have run the call, for the route's limit. Once the caller has a part of the answer,
/// servers that have left since are not counted, so that planned leaves do not use up the attempts of a long answer.
std::uint32_t RelayReducer::countedAttempts(const Call& call) const
{
    const auto counts = [&](const BackendId& id) { return !call.hasPartialAnswer || !m_fleet.hasLeft(id); };
    return static_cast<std::uint32_t>(std::count_if(call.mayHaveRunOn.begin(), call.mayHaveRunOn.end(), counts));
}

/// Applies every limit but the retry budget.
/// @return the limit that forbids another attempt, or nothing if the call may be retried
std::optional<RetryLimit> RelayReducer::retryLimit(const Call& call, const Context& context) const
{
    if (call.mayHaveRun && !isRepeatable(call.route->kind))
        return RetryLimit::NotRepeatable;
    if (countedAttempts(call) >= call.route->maxAttempts)
        return RetryLimit::Attempts;
    // A partial answer may be rejected more often: the retry budget and the caller's timeout bound its attempts.
    if (!call.hasPartialAnswer && call.rejections >= m_options.maxRejections)
        return RetryLimit::Rejections;
    if (context.now >= call.deadline)
        return RetryLimit::Deadline;
    return std::nullopt;
}

/// Retries a call without a running attempt, or gives its final answer.
/// @param reason  why the last attempt failed
void RelayReducer::retryOrFinish(Call& call, Reason reason, Context& context)
{
    if (m_quarantine.findQuarantined(call.traits, context.now)) {
        finishUnanswered(call, Reason::CrashesServers, context);
        return;
    }
    if (isCutOff() && !call.hasPartialAnswer) {
        finishUnanswered(call, Reason::NoPathToServers, context, RetryLimit::NoServer);
        return;
    }
    std::optional<RetryLimit> limit = retryLimit(call, context);
    // The attempts limit may no longer apply when a server that ran the call leaves while the caller waits.
    if (call.hasPartialAnswer && (!limit || *limit == RetryLimit::Attempts)) {
        interrupt(call, reason, context);
        return;
    }
    // A retry that no server will take in time must not use up the budget.
    call.waitUntil = std::min(call.deadline, context.now + MaxRetryWait);
    if (const auto restriction = limit ? std::nullopt : restrictionOn(call, 0, context)) {
        limit = RetryLimit::NoServer;
        reason = call.mayHaveRun ? reason : *restriction;
    }
    if (!limit && (isRetryReserved(call.service) || !budgetOf(call.service).spend()))
        limit = RetryLimit::Budget;
    if (!limit) {
        call.holdsRetryToken = true;
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

/// Starts another attempt at a call. Without capacity the call is queued ahead of its workspace's other calls.
void RelayReducer::requeue(Call& call, Context& context)
{
    call.waitUntil = std::min(call.deadline, context.now + MaxRetryWait);
    call.state = CallState::Waiting;
    if (!place(call, context))
        queueOf(call).waiting().pushFront(call.workspace, 1, -call.rank, call.id);
}

/// Ends a call without a complete answer: refuses it, or breaks off the answer if the caller has a part of it.
/// @param limit  what forbade another attempt, or nothing if no attempt failed
void RelayReducer::finishUnanswered(Call& call, Reason reason, Context& context, std::optional<RetryLimit> limit)
{
    ++m_counters.refused.at(static_cast<std::size_t>(reason));
    if (limit)
        ++m_counters.retriesDenied.at(static_cast<std::size_t>(*limit));
    if (call.hasPartialAnswer) {
        context.effects.emplace_back(effect::BreakAnswer { call.id, reason, limit });
    } else {
        const RunState run = call.mayHaveRun ? RunState::MayHaveRun : RunState::NotRun;
        const bool isShortage = reason == Reason::NoCapacity || reason == Reason::LimitReached;
        const Duration retryAfter = reason == Reason::ServersInBackoff ? retryAfterBackoff(call.service, context)
            : isShortage                                               ? retryAfterShortage(queueOf(call), context)
                                                                       : retryAfterFor(reason, context);
        refuse(call, reason, run, retryAfter, limit, context);
    }
    remove(call.id);
}

/// Cancels a running attempt. The attempt counts against the route's limit.
void RelayReducer::cancel(Call& call, const Attempt& attempt, CancelCause cause, Context& context)
{
    context.effects.emplace_back(effect::CancelAttempt { attempt.id, cause });
    if (mayBeDead(attempt.server, context.now))
        recordLostAttempt(call, attempt, context);
    call.mayHaveRun = call.mayHaveRun || attempt.wasSent;
    call.mayHaveRunOn.push_back(attempt.server);
    release(call, attempt, context);
}

/// Cancels the running attempts of a call except for one, which becomes the main attempt.
/// @param kept  default-constructed to cancel all attempts because the call has ended
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
    if (call.main.unprovenEnd)
        noteVerdict(call, EndVerdict::Undecided, EndProof::None, context);
    cancel(call, call.main, cause, context);
    if (call.second) {
        call.main = *call.second;
        call.second.reset();
        ++m_counters.resumed;
    }
}

/// Frees the capacity that a finished attempt had booked, including that of an unanswered reroute.
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

/// Forgets a call whose attempts have been released.
void RelayReducer::remove(RequestId id)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    if (found->second.state == CallState::Waiting)
        queueOf(found->second).waiting().erase(id);
    if (found->second.holdsRetryToken)
        budgetOf(found->second.service).refund();
    m_interrupted.erase(id);
    m_heldAtStart.erase(id);
    m_calls.erase(found);
}

} // namespace crocusmount::relay
