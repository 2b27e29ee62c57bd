#include "relay/RelayReducer.h"

#include "relay/ChainFinder.h"
#include "relay/EngineCost.h"

#include <algorithm>

namespace crocusmount::relay {

namespace {

    /// A stage avoided after a failure is still better than no chain.
    constexpr double AvoidedPenaltyMs = 1000;
    /// A stage on which this very call failed before.
    constexpr double FailedBeforePenaltyMs = 5000;
    /// How much the cost of a plain service's server grows with its rate of failures.
    constexpr double FailurePenalty = 4;
    /// Part of a stage's pass that a token waits for it.
    constexpr double PassWaitShare = 0.5;
    /// How long a stage is left alone after it turned a call away: it is full, and some streams end within this time.
    constexpr Duration FullPause = std::chrono::milliseconds(250);
    /// Random part of a cost, so that instances with the same view do not all choose the same engine.
    constexpr double CostJitter = 0.2;
    /// A retry that waits for room gives up after this; by then the caller's own limit is near.
    constexpr Duration RetryWait = std::chrono::milliseconds(800);
    /// A stage with an event this shortly before a stall began is still held to have stalled.
    constexpr Duration StallTolerance = std::chrono::milliseconds(40);
    /// A chain whose stages all move for other calls may be slow with this one: it gets this many times longer.
    constexpr int UnexplainedStallFactor = 3;
    constexpr double GapWeight = 0.2;
    /// Weight of one end in the rate of ends.
    constexpr double EndWeight = 0.05;
    /// Bounds what two ends at the same moment count.
    constexpr double MostEndsPerSecond = 200;
    /// Times at which a plain service's server counts as full, in own calls over its share of slots.
    constexpr double SlotOvercommit = 2;

    /// Spreads one random word over several uses. @return a number in [0, 1)
    double fraction(std::uint64_t entropy, std::uint64_t use)
    {
        std::uint64_t mixed = entropy + (use + 1) * 0x9E3779B97F4A7C15ULL; // SplitMix64's step and finalizer
        mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9ULL;
        mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBULL;
        mixed ^= mixed >> 31U;
        return static_cast<double>(mixed >> 11U) / 9007199254740992.0; // 2^53
    }

    bool contains(const std::vector<BackendId>& ids, const BackendId& id)
    {
        return std::find(ids.begin(), ids.end(), id) != ids.end();
    }

    Reason reasonOf(const event::AttemptEnded& ended)
    {
        switch (ended.result) {
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
{
}

void RelayReducer::reduce(const RelayEvent& event, RelayEffects& effects)
{
    const Context context { event.now, event.entropy };
    std::visit([&](const auto& body) { on(body, context, effects); }, event.body);
}

std::size_t RelayReducer::waitingCalls() const
{
    std::size_t waiting = 0;
    for (const auto& [service, state] : m_services)
        waiting += state.waiting.size();
    return waiting;
}

const Call* RelayReducer::find(RequestId id) const
{
    const auto found = m_calls.find(id);
    return found == m_calls.end() ? nullptr : &found->second;
}

// ---- What is known -------------------------------------------------------------------------------------------------

void RelayReducer::on(const event::ConfigurationAccepted& accepted, const Context& context, RelayEffects& effects)
{
    if (m_routes && accepted.routes->configuration().version <= m_routes->configuration().version)
        return;
    m_routes = accepted.routes;
    ++m_counters.configurationsAccepted;
    dispatchAll(context, effects);
}

void RelayReducer::on(const event::ServerRegistered& registered, const Context& context, RelayEffects& effects)
{
    const BackendId& id = registered.server.id;
    if (registered.server.leaving)
        m_moveOffAt.try_emplace(id, context.now + m_options.rerouteDelay);
    if (m_fleet.upsert(registered.server))
        dispatchAll(context, effects);
}

void RelayReducer::on(const event::ServerUnregistered& gone, const Context& context, RelayEffects&)
{
    m_fleet.remove(gone.server);
    // Some servers leave without a word; they too go on serving for a while.
    m_moveOffAt.try_emplace(gone.server, context.now + m_options.rerouteDelay);
}

void RelayReducer::on(const event::InstancesCounted& counted, const Context&, RelayEffects&)
{
    m_instances = std::max(1U, counted.instances);
}

void RelayReducer::on(const event::DrainRequested&, const Context& context, RelayEffects&)
{
    if (!m_drainedAt)
        m_drainedAt = context.now;
}

// ---- A call's life -------------------------------------------------------------------------------------------------

std::optional<Reason> RelayReducer::admit(Call& call, const Context& context) const
{
    if (!m_routes)
        return Reason::NotConfigured;
    call.routes = m_routes;
    call.route = m_routes->route(call.spec.host, call.spec.path);
    if (!call.route)
        return Reason::UnknownRoute;
    if (m_drainedAt && context.now > *m_drainedAt + m_options.lastCall)
        return Reason::Draining;
    call.rank = call.route->rank;
    if (!m_routes->configuration().workspaces.empty() && !call.route->anonymous) {
        const KeyHolder* holder = m_routes->holderOf(call.spec.key);
        if (!holder)
            return Reason::UnknownKey;
        call.workspace = holder->workspace;
        call.rank = holder->rank.value_or(call.rank);
    }
    call.service = RouteTable::pickService(*call.route, context.entropy);
    return std::nullopt;
}

void RelayReducer::on(const event::CallArrived& arrival, const Context& context, RelayEffects& effects)
{
    ++m_counters.calls;
    Call call;
    call.id = arrival.call;
    call.spec = arrival.spec;
    call.arrived = context.now;
    if (const auto refusal = admit(call, context)) {
        ++m_counters.refused.at(static_cast<std::size_t>(*refusal));
        effects.emplace_back(effect::Refuse { call.id, *refusal, RunState::NotRun, comeBackAfter(*refusal, context) });
        return;
    }
    const Route& route = *call.route;
    const Duration patience = call.spec.patience.count() > 0 ? call.spec.patience : route.timeout;
    call.deadline = context.now + std::min(patience, route.timeout);
    call.waitUntil = context.now
        + std::chrono::duration_cast<Duration>(
            std::chrono::duration<double, std::micro>(route.objective.count() * m_options.queueWaitShare));
    const std::uint32_t expected
        = call.spec.expectedAnswerTokens ? call.spec.expectedAnswerTokens : call.spec.maxAnswerTokens;
    call.tokens = call.spec.promptTokens + expected;
    call.lastEvent = call.spec.resumeAfter.value_or(0);
    budgetOf(call.service).earn();
    Call& stored = m_calls.emplace(call.id, std::move(call)).first->second;
    if (queueOf(stored.service).empty() && place(stored, context, effects))
        return;
    if (waitsInVain(stored, context)) {
        finishUnanswered(stored, Reason::NoCapacity, context, effects);
        return;
    }
    queueOf(stored.service).push(stored.workspace, 1, -stored.rank, { stored.id, std::max(1.0, stored.tokens) });
    dispatch(queueOf(stored.service), context, effects);
}

void RelayReducer::on(const event::CallerLeft& left, const Context& context, RelayEffects& effects)
{
    const auto found = m_calls.find(left.call);
    if (found == m_calls.end())
        return;
    ++m_counters.callersLeft;
    if (found->second.state == CallState::Running) {
        effects.emplace_back(effect::CancelAttempt { found->second.attempt });
        releaseAttempt(found->second, context.now);
    }
    remove(left.call);
    dispatchAll(context, effects);
}

void RelayReducer::on(const event::AttemptSent& sent, const Context&, RelayEffects&)
{
    const auto attempt = m_attempts.find(sent.attempt);
    if (attempt == m_attempts.end())
        return;
    Call& call = m_calls.at(attempt->second);
    call.sent = true;
}

void RelayReducer::on(const event::EventDelivered& delivered, const Context& context, RelayEffects&)
{
    const auto attempt = m_attempts.find(delivered.attempt);
    if (attempt == m_attempts.end())
        return;
    Call& call = m_calls.at(attempt->second);
    if (!call.attemptEvents) {
        ServiceState& service = m_services[call.service];
        const double ratio = std::chrono::duration<double>(context.now - call.attemptStarted)
            / std::chrono::duration<double>(call.route->objective);
        service.limit.answered(ratio, service.running, context.now);
    } else {
        const Duration gap = context.now - call.lastProgress;
        call.usualGap += std::chrono::duration_cast<Duration>(GapWeight * (gap - call.usualGap));
    }
    ++call.attemptEvents;
    call.answering = true;
    call.lastEvent = delivered.eventId;
    call.lastProgress = context.now;
    m_fleet.progressed(call.chain, context.now);
}

void RelayReducer::on(const event::AttemptEnded& ended, const Context& context, RelayEffects& effects)
{
    const auto attempt = m_attempts.find(ended.attempt);
    if (attempt == m_attempts.end())
        return;
    Call& call = m_calls.at(attempt->second);
    noteOutcome(call, ended, context);
    releaseAttempt(call, context.now);
    if (ended.result == AttemptResult::Completed) {
        ++m_counters.completed;
        remove(call.id);
    } else {
        if (ended.result == AttemptResult::ConnectFailed || ended.result == AttemptResult::NotRun) {
            ++call.rejections;
        } else {
            ++call.attempts;
            call.mayHaveRun = call.mayHaveRun || call.sent;
        }
        retryOrFinish(call, reasonOf(ended), ended.result == AttemptResult::ServerFailure, context, effects);
    }
    dispatchAll(context, effects);
}

void RelayReducer::noteOutcome(const Call& call, const event::AttemptEnded& ended, const Context& context)
{
    const FleetServer* named = ended.culprit.empty() ? nullptr : m_fleet.findByAddress(ended.culprit);
    const BackendId blamed = named ? named->entry.id : call.server;
    switch (ended.result) {
    case AttemptResult::Completed:
        m_fleet.succeeded(call.server);
        return;
    case AttemptResult::ServerFailure:
        // Some calls fail by their nature; only a rate of failures tells on the server.
        return;
    case AttemptResult::NotRun:
        m_services[call.service].limit.rejected(m_services[call.service].running, context.now);
        m_fleet.suspect(blamed, context.now + FullPause);
        return;
    default:
        m_fleet.failed(blamed, context.now);
    }
}

void RelayReducer::retryOrFinish(
    Call& call, Reason reason, bool serverFailure, const Context& context, RelayEffects& effects)
{
    const bool safe = !call.mayHaveRun || isRepeatable(call.route->kind);
    const bool attemptsLeft = call.attempts < call.route->maxAttempts && call.rejections < m_options.mostRejections;
    const bool timeLeft = context.now < call.deadline;
    if (safe && attemptsLeft && timeLeft && budgetOf(call.service).spend()) {
        ++m_counters.retried.at(static_cast<std::size_t>(reason));
        call.avoid.push_back(call.server);
        call.waitUntil = std::min(call.deadline, context.now + RetryWait);
        call.state = CallState::Waiting;
        if (!place(call, context, effects))
            queueOf(call.service).pushFront(call.workspace, 1, -call.rank, call.id);
        return;
    }
    if (serverFailure && !call.answering) {
        effects.emplace_back(effect::DeliverServerFailure { call.id });
        remove(call.id);
        return;
    }
    finishUnanswered(call, reason, context, effects);
}

void RelayReducer::finishUnanswered(Call& call, Reason reason, const Context& context, RelayEffects& effects)
{
    ++m_counters.refused.at(static_cast<std::size_t>(reason));
    if (call.answering) {
        effects.emplace_back(effect::BreakAnswer { call.id, reason });
    } else {
        const RunState run = call.mayHaveRun ? RunState::MayHaveRun : RunState::NotRun;
        effects.emplace_back(effect::Refuse { call.id, reason, run, comeBackAfter(reason, context) });
    }
    remove(call.id);
}

void RelayReducer::releaseAttempt(Call& call, TimePoint now)
{
    m_attempts.erase(call.attempt);
    if (!call.reroute.hops().empty())
        m_fleet.unbook(call.reroute, call.tokens);
    call.reroute = Chain();
    ServiceState& service = m_services[call.service];
    service.running = std::max(0.0, service.running - 1);
    const double seconds = std::max(1e-3, std::chrono::duration<double>(now - service.lastEnd).count());
    service.lastEnd = now;
    service.endsPerSecond += EndWeight * (std::min(1 / seconds, MostEndsPerSecond) - service.endsPerSecond);
    if (call.chain.hops().empty()) {
        if (FleetServer* server = m_fleet.find(call.server); server && server->ownCalls)
            --server->ownCalls;
    } else {
        m_fleet.unbook(call.chain, call.tokens);
    }
}

void RelayReducer::remove(RequestId id)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    if (found->second.state == CallState::Waiting)
        queueOf(found->second.service).erase(id);
    m_calls.erase(found);
}

// ---- Waiting and placing -------------------------------------------------------------------------------------------

void RelayReducer::dispatchAll(const Context& context, RelayEffects& effects)
{
    for (auto& [service, state] : m_services)
        dispatch(state.waiting, context, effects);
}

void RelayReducer::dispatch(FairQueue& queue, const Context& context, RelayEffects& effects)
{
    while (const auto next = queue.pop()) {
        const auto found = m_calls.find(*next);
        if (found == m_calls.end())
            continue;
        Call& call = found->second;
        if (place(call, context, effects))
            continue;
        queue.pushFront(call.workspace, 1, -call.rank, call.id);
        return;
    }
}

bool RelayReducer::hasRoom(const Call& call) const
{
    // A stream that the caller has a part of goes on in any case.
    if (!isStream(call.route->kind) || call.answering)
        return true;
    const auto service = m_services.find(call.service);
    return service == m_services.end() || service->second.running < service->second.limit.value();
}

bool RelayReducer::waitsInVain(const Call& call, const Context& context) const
{
    const auto service = m_services.find(call.service);
    if (service == m_services.end() || service->second.endsPerSecond <= 0)
        return false;
    const double seconds = static_cast<double>(service->second.waiting.size()) / service->second.endsPerSecond;
    return std::chrono::duration<double>(call.waitUntil - context.now).count() < seconds;
}

bool RelayReducer::place(Call& call, const Context& context, RelayEffects& effects)
{
    if (!hasRoom(call))
        return false;
    auto placement = findPlacement(call, context);
    if (!placement)
        return false;
    call.state = CallState::Running;
    call.attempt = AttemptId(m_nextAttempt++);
    call.server = placement->server;
    call.chain = std::move(placement->chain);
    call.attemptStarted = context.now;
    call.lastProgress = context.now;
    call.usualGap = Duration(0);
    call.attemptEvents = 0;
    call.sent = false;
    call.reroute = Chain();
    call.reroutes = 0;
    m_attempts[call.attempt] = call.id;
    ++m_services[call.service].running;
    if (call.chain.hops().empty())
        ++m_fleet.find(call.server)->ownCalls;
    else
        m_fleet.book(call.chain, call.tokens);
    ++m_counters.attempts;
    if (call.answering)
        ++m_counters.resumed;
    effect::StartAttempt start;
    start.attempt = call.attempt;
    start.call = call.id;
    start.server = call.server;
    start.address = placement->address;
    start.chain = call.chain;
    start.remaining = call.deadline - context.now;
    if (call.answering || call.spec.resumeAfter)
        start.resumeAfter = call.lastEvent;
    start.workspace = call.workspace.value();
    start.stream = isStream(call.route->kind);
    start.repeatable = isRepeatable(call.route->kind);
    effects.emplace_back(std::move(start));
    return true;
}

std::optional<RelayReducer::Placement> RelayReducer::findPlacement(const Call& call, const Context& context)
{
    const Service* service = call.routes->service(call.service);
    if (!service || !service->engine)
        return findServer(call, context);
    const auto chain = findChain(call, *service, context);
    if (!chain)
        return std::nullopt;
    const Hop& first = chain->hops().front();
    return Placement { first.backend, first.address, *chain };
}

std::optional<Chain> RelayReducer::findChain(
    const Call& call, const Service& service, const Context& context, const Hop* first)
{
    const EngineModel& model = *service.engine;
    std::vector<ChainCandidate> candidates;
    std::map<DataCentreId, std::uint32_t> dataCentres { { m_options.dataCentre, 0 } };
    std::uint64_t use = 0;
    for (const auto& [id, server] : m_fleet.servers()) {
        const RegisteredServer& entry = server.entry;
        const AcceleratorKind* card = model.kind(entry.accelerator);
        if (entry.service != call.service || entry.leaving || !entry.layers.size() || !card)
            continue;
        if (first && id == first->backend)
            continue;
        const double held = entry.layers.size();
        const double contextTokens = server.ownTokenLayers / held * m_instances + call.tokens;
        const EngineCost cost(model, *card, entry.layers.size(), { contextTokens, server.slowness });
        if (cost.fill() > m_options.memoryOvercommit && server.ownTokenLayers > 0)
            continue;
        const double jitter = 1 + CostJitter * fraction(context.entropy, ++use);
        // A stage takes a token up only after its pass under way, which runs all of its layers.
        const double penalty = PassWaitShare * cost.passMs() + (context.now < server.avoidUntil ? AvoidedPenaltyMs : 0)
            + (contains(call.avoid, id) ? FailedBeforePenaltyMs : 0);
        const auto dataCentre
            = dataCentres.emplace(entry.dataCentre, static_cast<std::uint32_t>(dataCentres.size())).first->second;
        candidates.push_back({ id, entry.address, entry.layers, dataCentre, cost.marginalMsPerLayer() * jitter, penalty });
    }
    const FleetServer* entrance = first ? m_fleet.find(first->backend) : nullptr;
    const auto home = entrance ? dataCentres.emplace(entrance->entry.dataCentre, dataCentres.size()).first->second : 0;
    return ChainFinder::find(model.layers, candidates, home, first);
}

std::optional<RelayReducer::Placement> RelayReducer::findServer(const Call& call, const Context& context)
{
    const FleetServer* best = nullptr;
    double bestCost = 0;
    std::uint64_t use = 0;
    for (const auto& [id, server] : m_fleet.servers()) {
        const RegisteredServer& entry = server.entry;
        if (entry.service != call.service || entry.leaving)
            continue;
        const double share = std::max(1.0, SlotOvercommit * entry.slots / m_instances);
        if (server.ownCalls >= share + 1)
            continue;
        const double cost = (1 + server.ownCalls) * server.slowness * (1 + FailurePenalty * server.failureRate)
                * (1 + CostJitter * fraction(context.entropy, ++use))
            + (entry.dataCentre == m_options.dataCentre ? 0 : CostJitter)
            + (context.now < server.avoidUntil ? AvoidedPenaltyMs : 0)
            + (contains(call.avoid, id) ? FailedBeforePenaltyMs : 0);
        if (!best || cost < bestCost) {
            best = &server;
            bestCost = cost;
        }
    }
    if (!best)
        return std::nullopt;
    return Placement { best->entry.id, best->entry.address, Chain() };
}

// ---- Time ----------------------------------------------------------------------------------------------------------

void RelayReducer::on(const event::Tick&, const Context& context, RelayEffects& effects)
{
    std::vector<RequestId> due;
    for (auto& [id, call] : m_calls) {
        const bool waiting = call.state == CallState::Waiting;
        if (context.now >= call.deadline || (waiting && context.now >= call.waitUntil))
            due.push_back(id);
    }
    for (const RequestId& id : due) {
        Call& call = m_calls.at(id);
        Reason reason = context.now >= call.deadline ? Reason::TimedOut : Reason::NoCapacity;
        if (call.state == CallState::Running) {
            call.mayHaveRun = call.mayHaveRun || call.sent;
            effects.emplace_back(effect::CancelAttempt { call.attempt });
            releaseAttempt(call, context.now);
            reason = Reason::TimedOut;
        }
        finishUnanswered(call, reason, context, effects);
    }
    moveOffLeaving(context, effects);
    std::vector<RequestId> running;
    for (const auto& [id, call] : m_calls) {
        if (call.state == CallState::Running)
            running.push_back(id);
    }
    for (const RequestId& id : running) {
        if (const auto found = m_calls.find(id); found != m_calls.end())
            checkRunning(found->second, context, effects);
    }
    dispatchAll(context, effects);
}

void RelayReducer::checkRunning(Call& call, const Context& context, RelayEffects& effects)
{
    if (!isRepeatable(call.route->kind) || call.reroute.hops().size() || !isStalled(call, context.now))
        return;
    const std::vector<BackendId> culprits = stalledStages(call);
    const Duration still = context.now - call.lastProgress;
    const Duration limit = call.answering ? m_options.minStall : m_options.firstEventLimit;
    if (culprits.empty() && still < limit * UnexplainedStallFactor)
        return;
    for (const BackendId& culprit : culprits) {
        m_fleet.suspect(culprit, context.now + m_options.suspicion);
        call.avoid.push_back(culprit);
    }
    if (!culprits.empty() && reroute(call, culprits, context, effects))
        return;
    if (call.attempts + 1 >= call.route->maxAttempts)
        return;
    effects.emplace_back(effect::CancelAttempt { call.attempt });
    releaseAttempt(call, context.now);
    call.mayHaveRun = true;
    ++call.attempts;
    retryOrFinish(call, Reason::Stalled, false, context, effects);
}

bool RelayReducer::reroute(
    Call& call, const std::vector<BackendId>& away, const Context& context, RelayEffects& effects)
{
    if (call.chain.hops().empty() || contains(away, call.server) || !call.reroute.hops().empty()
        || call.reroutes >= m_options.mostReroutes)
        return false;
    const Service* service = call.routes->service(call.service);
    auto chain = findChain(call, *service, context, &call.chain.hops().front());
    if (!chain)
        return false;
    if (std::any_of(away.begin(), away.end(), [&](const BackendId& id) { return chain->contains(id); }))
        return false;
    ++call.reroutes;
    ++m_counters.rerouted;
    // The new stages need the room from now on; the old ones are given free when the order is answered.
    m_fleet.book(*chain, call.tokens);
    call.reroute = *chain;
    call.lastProgress = context.now;
    effects.emplace_back(
        effect::RerouteAttempt { call.attempt, call.id, call.chain.hops().front().address, *std::move(chain) });
    return true;
}

void RelayReducer::on(const event::RerouteAnswered& answered, const Context&, RelayEffects&)
{
    const auto attempt = m_attempts.find(answered.attempt);
    if (attempt == m_attempts.end())
        return;
    Call& call = m_calls.at(attempt->second);
    if (call.reroute.hops().empty())
        return;
    if (!answered.accepted)
        ++m_counters.reroutesRefused;
    m_fleet.unbook(answered.accepted ? call.chain : call.reroute, call.tokens);
    if (answered.accepted)
        call.chain = call.reroute;
    call.reroute = Chain();
}

void RelayReducer::moveOffLeaving(const Context& context, RelayEffects& effects)
{
    for (auto leaving = m_moveOffAt.begin(); leaving != m_moveOffAt.end();) {
        if (context.now < leaving->second) {
            ++leaving;
            continue;
        }
        const std::vector<BackendId> away { leaving->first };
        for (auto& [id, call] : m_calls) {
            if (call.state == CallState::Running && call.chain.contains(away.front()))
                reroute(call, away, context, effects);
        }
        leaving = m_moveOffAt.erase(leaving);
    }
}

bool RelayReducer::isStalled(const Call& call, TimePoint now) const
{
    const Duration still = now - call.lastProgress;
    if (!isStream(call.route->kind)) {
        const auto limit = std::chrono::duration<double, std::micro>(
            static_cast<double>(call.route->objective.count()) * m_options.slowCallFactor);
        return still > limit;
    }
    if (!call.attemptEvents)
        return still > m_options.firstEventLimit;
    const auto usual = std::chrono::duration_cast<Duration>(m_options.stallFactor * call.usualGap);
    return still > std::max(m_options.minStall, usual);
}

std::vector<BackendId> RelayReducer::stalledStages(const Call& call) const
{
    std::vector<BackendId> stalled;
    if (call.chain.hops().empty())
        return { call.server };
    for (const Hop& hop : call.chain.hops()) {
        const auto found = m_fleet.servers().find(hop.backend);
        if (found == m_fleet.servers().end() || found->second.lastProgress <= call.lastProgress + StallTolerance)
            stalled.push_back(hop.backend);
    }
    return stalled;
}

Duration RelayReducer::comeBackAfter(Reason reason, const Context& context) const
{
    const auto spread = [&](std::int64_t leastMs, std::int64_t mostMs) {
        const double part = fraction(context.entropy, static_cast<std::uint64_t>(reason));
        return Duration(
            std::chrono::milliseconds(leastMs + static_cast<std::int64_t>(part * double(mostMs - leastMs))));
    };
    switch (reason) {
    case Reason::UnknownRoute:
    case Reason::UnknownKey:
        return Duration(0);
    case Reason::NoCapacity:
        // Half of the calls in flight end within about a second; the spread keeps the return from being a wave.
        return spread(600, 2000);
    default:
        return spread(200, 600);
    }
}

RetryBudget& RelayReducer::budgetOf(const ServiceId& service)
{
    const double burst = std::max(2.0, m_options.retrySlack / m_instances);
    return m_budgets.try_emplace(service, m_options.retryRatio, burst).first->second;
}

} // namespace crocusmount::relay
