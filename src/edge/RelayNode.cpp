#include "edge/RelayNode.h"

#include "edge/DecisionLog.h"
#include "edge/PeerSink.h"
#include "edge/QuarantineSink.h"
#include "edge/RequestDigest.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <random>

namespace crocusmount::relay {

namespace {

    /// Interval of ticks while calls are open: the granularity of waits, stall detection and deadlines.
    constexpr std::chrono::milliseconds BusyTickInterval { 20 };
    /// Interval of ticks while no call is open, when no wait, stall or deadline can become due.
    constexpr std::chrono::milliseconds IdleTickInterval { 200 };
    /// Time after which a check counts as unanswered. A stream may be stalled meanwhile, and callers accept a pause of
    /// 200 ms.
    constexpr std::chrono::milliseconds CheckTimeout { 80 };
    /// The same for a probe, which waits for a slot like any other request.
    constexpr std::chrono::milliseconds ProbeTimeout { 150 };
    /// A timer that fires later than this after its time shows that the process stood still.
    constexpr std::chrono::milliseconds MaxTimerLateness { 20 };
    /// How long the answer to a check is still awaited: it shows that the path and the engine are sound.
    constexpr std::chrono::milliseconds LateAnswerTimeout { 1000 };
    /// Ticks that are late by less are not logged.
    constexpr std::chrono::milliseconds MinLoggedStandstill { 100 };
    /// Logged as the time since an answer began where no answer began.
    constexpr std::int64_t NotBegunMs = -1;

    /// @return the chain for logs: "id=begin-end,..."
    std::string chainText(const Chain& chain)
    {
        std::string text;
        for (const Hop& hop : chain.hops()) {
            text += (text.empty() ? "" : ",") + hop.backend.value() + "=" + std::to_string(hop.layers.begin) + "-"
                + std::to_string(hop.layers.end);
        }
        return text;
    }

    /// @return fields of a log line on how an answer ended; none if no body was read
    boost::json::object endingFields(const std::optional<AnswerEnding>& ending)
    {
        if (!ending)
            return {};
        return { { "framing", toString(ending->framing) }, { "stop", toString(ending->stop) },
            { "inside_event", ending->isInsideEvent }, { "events_of_attempt", ending->events } };
    }

    const char* limitText(const std::optional<RetryLimit>& limit) { return limit ? toString(*limit) : "none"; }

    using Finding = event::ServerProbed::Finding;

    const char* toString(Finding finding)
    {
        switch (finding) {
        case Finding::Alive:
            return "alive";
        case Finding::Ended:
            return "ended";
        case Finding::Unknown:
            return "unknown";
        }
        return "finding";
    }

    /// @param expected  the server that is registered at the probed address
    Finding findingOf(const ServerIdentity& identity, const BackendId& expected)
    {
        if (identity.answer == CheckAnswer::Refused)
            return Finding::Ended;
        if (identity.answer == CheckAnswer::Silent || identity.id.value().empty())
            return Finding::Unknown;
        return identity.id == expected ? Finding::Alive : Finding::Ended;
    }

    bool isRefused(const EngineReport& report) { return report.answer == CheckAnswer::Refused; }

    const char* toString(effect::LogServerState::ServerStateChange belief)
    {
        using ServerStateChange = effect::LogServerState::ServerStateChange;
        switch (belief) {
        case ServerStateChange::ProcessEnded:
            return "server_ended";
        case ServerStateChange::StartEnded:
            return "server_start_ended";
        case ServerStateChange::EntryOutdated:
            return "server_entry_outdated";
        case ServerStateChange::EntryUnusable:
            return "server_entry_unusable";
        case ServerStateChange::Reinstated:
            return "server_reinstated";
        case ServerStateChange::ReportedDead:
            return "engine_reported_dead";
        case ServerStateChange::Closed:
            return "engine_closed";
        case ServerStateChange::AnnouncedLeaving:
            return "server_announced_leaving";
        case ServerStateChange::ReportedClosed:
            return "engine_reported_closed";
        }
        return "belief";
    }

    /// @return an engine's key as 16 hexadecimal digits
    std::string hexKey(std::uint64_t key) { return absl::StrCat(absl::Hex(key, absl::kZeroPad16)); }

    /// @return the ids, separated by commas
    std::string textFrom(const std::vector<PromptPartId>& parts)
    {
        return absl::StrJoin(
            parts, ",", [](std::string* out, const PromptPartId& part) { absl::StrAppend(out, part.value()); });
    }

    std::vector<PromptPartId> partsOf(const std::vector<RequestTrait>& traits)
    {
        std::vector<PromptPartId> parts;
        for (const RequestTrait& trait : traits) {
            if (const auto* part = std::get_if<PromptPartId>(&trait.value); part && trait.workspace)
                parts.push_back(*part);
        }
        return parts;
    }

    /// @return the name of the log field for a trait
    const char* nameOf(const RequestTrait& trait) { return trait.isPromptPart() ? "part" : "request"; }

    std::int64_t toMs(Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    }

} // namespace

RelayNode::RelayNode(net::io_context& context, RelayOptions options, HeaderNames names, EngineControl& control)
    : m_context(context)
    , m_headerNames(std::move(names))
    , m_unknownHeaders(m_headerNames)
    , m_engineControl(control)
    , m_reducer(std::move(options))
    , m_random(std::random_device {}())
    , m_tickTimer(context.get_executor())
{
    net::co_spawn(m_context.get_executor(), tickLoop(), net::detached);
}

RelayNode::~RelayNode() = default;

TimePoint RelayNode::now() const
{
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

std::uint64_t RelayNode::entropy() { return m_random(); }

CallLimits RelayNode::limits() const
{
    return m_reducer.routes() ? m_reducer.routes()->configuration().limits : CallLimits();
}

Awaitable<void> RelayNode::tickLoop()
{
    while (true) {
        m_tickTimer.expires_after(m_reducer.openCalls() ? BusyTickInterval : IdleTickInterval);
        const auto [error] = co_await m_tickTimer.async_wait(net::as_tuple(useAwaitable));
        // The first open call cancels the wait, so that the next tick comes sooner.
        if (!error)
            recordStandstill(
                std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - m_tickTimer.expiry()));
        post(event::Tick {});
    }
}

void RelayNode::recordStandstill(Duration lateness)
{
    m_latencies.standstill.observe(lateness);
    if (lateness >= MinLoggedStandstill)
        DecisionLog::state("stood_still", { { "lasted_ms", toMs(lateness) }, { "open_calls", m_openCalls.size() } });
}

RelayNode::CallHandle RelayNode::openCall(std::shared_ptr<const CallerRequest> request, CallSpec spec)
{
    const RequestId id(m_nextRequestId++);
    spec.content = digestOf(*request, spec.host);
    auto pipe = std::make_shared<AnswerPipe>(m_context);
    m_openCalls[id] = { spec.name, spec.content.toHex(), textFrom(spec.promptParts), std::move(request), pipe, now(),
        std::nullopt, std::nullopt, Duration(0), 0 };
    if (!m_reducer.openCalls())
        m_tickTimer.cancel();
    post(event::CallArrived { id, std::move(spec) });
    return { id, std::move(pipe) };
}

void RelayNode::callerLeft(RequestId id, const std::string& cause)
{
    const auto found = m_openCalls.find(id);
    if (found == m_openCalls.end())
        return;
    recordAnswer(found->second, "caller_left", { { "cause", cause } });
    m_openCalls.erase(found);
    post(event::CallerLeft { id });
}

void RelayNode::recordProcessStop()
{
    for (const auto& [id, call] : m_openCalls)
        recordAnswer(call, "cut_by_process_stop");
}

void RelayNode::post(RelayEventBody body)
{
    m_pendingEvents.push_back(std::move(body));
    if (m_isReducing)
        return;
    m_isReducing = true;
    while (!m_pendingEvents.empty()) {
        RelayEvent event { now(), entropy(), std::move(m_pendingEvents.front()) };
        m_pendingEvents.pop_front();
        RelayEffects effects;
        if (const auto* ended = std::get_if<event::AttemptEnded>(&event.body))
            recordAttemptEnd(*ended);
        if (const auto* begun = std::get_if<event::AnswerBegun>(&event.body))
            recordAnswerBegun(*begun);
        if (const auto* delivered = std::get_if<event::EventDelivered>(&event.body))
            recordEvent(*delivered);
        m_reducer.reduce(event, effects);
        apply(effects);
    }
    m_isReducing = false;
}

void RelayNode::recordAnswerBegun(const event::AnswerBegun& begun)
{
    if (const auto running = m_runningAttempts.find(begun.attempt); running != m_runningAttempts.end())
        running->second.begunAt = now();
}

void RelayNode::recordEvent(const event::EventDelivered& delivered)
{
    const auto running = m_runningAttempts.find(delivered.attempt);
    const auto open = running == m_runningAttempts.end() ? m_openCalls.end() : m_openCalls.find(running->second.call);
    if (open == m_openCalls.end())
        return;
    OpenCall& call = open->second;
    const TimePoint at = now();
    if (call.lastEventAt)
        call.longestGap = std::max(call.longestGap, at - *call.lastEventAt);
    else
        call.firstEventAt = at;
    call.lastEventAt = at;
    ++call.eventCount;
}

void RelayNode::recordAttemptEnd(const event::AttemptEnded& ended)
{
    const auto running = m_runningAttempts.find(ended.attempt);
    if (running == m_runningAttempts.end())
        return;
    const RunningAttempt attempt = running->second;
    const RequestId call = attempt.call;
    m_runningAttempts.erase(running);
    const auto open = m_openCalls.find(call);
    if (open == m_openCalls.end())
        return;
    if (ended.result == AttemptResult::Completed) {
        boost::json::object fields = endingFields(ended.ending);
        fields["status"] = ended.status;
        fields["server"] = attempt.server.value();
        recordAnswer(open->second, "completed", std::move(fields));
        m_openCalls.erase(open);
        return;
    }
    boost::json::object fields { { "result", toString(ended.result) }, { "status", ended.status },
        { "culprit", ended.culprit }, { "server", attempt.server.value() }, { "chain", chainText(attempt.chain) },
        { "request", open->second.digest }, { "sent_ms", toMs(now() - attempt.startedAt) },
        { "begun_ms", attempt.begunAt ? toMs(now() - *attempt.begunAt) : NotBegunMs } };
    if (ended.result == AttemptResult::ConnectFailed)
        fields["connect_failure"] = toString(ended.connectFailure);
    for (const auto& field : endingFields(ended.ending))
        fields.insert(field);
    const bool isUnproven = ended.result == AttemptResult::Unproven;
    DecisionLog::call(isUnproven ? "answer_end_unproven" : "attempt_failed", open->second.callId, fields);
}

void RelayNode::apply(const RelayEffects& effects)
{
    for (const RelayEffect& effect : effects)
        std::visit([this](const auto& body) { on(body); }, effect);
}

void RelayNode::on(const effect::StartAttempt& start)
{
    const auto found = m_openCalls.find(start.call);
    if (found == m_openCalls.end())
        return;
    DecisionLog::call("attempt", found->second.callId,
        { { "route", start.route }, { "workspace", start.workspace }, { "server", start.server.value() },
            { "request", found->second.digest }, { "parts", found->second.promptParts },
            { "purpose", toString(start.purpose) }, { "address", start.address }, { "chain", chainText(start.chain) },
            { "remaining_ms", toMs(start.remaining) }, { "resume_after", start.resumeAfter.value_or(0) },
            { "waited_ms", toMs(now() - found->second.arrivedAt) } });
    auto attempt = std::make_shared<UpstreamAttempt>(m_context, m_headerNames, m_unknownHeaders, start,
        found->second.request, found->second.pipe, [this](RelayEventBody body) { post(std::move(body)); });
    m_runningAttempts[start.attempt] = { start.call, attempt, start.server, start.chain, now(), std::nullopt };
    attempt->start();
}

void RelayNode::on(const effect::CancelAttempt& cancel)
{
    const auto found = m_runningAttempts.find(cancel.attempt);
    if (found == m_runningAttempts.end())
        return;
    logCancelled(found->second, cancel.cause);
    found->second.attempt->cancel();
    m_runningAttempts.erase(found);
}

void RelayNode::logCancelled(const RunningAttempt& attempt, CancelCause cause)
{
    if (const auto open = m_openCalls.find(attempt.call); open != m_openCalls.end()) {
        DecisionLog::call("attempt_cancelled", open->second.callId,
            { { "cause", toString(cause) }, { "server", attempt.server.value() },
                { "chain", chainText(attempt.chain) } });
    }
}

void RelayNode::on(const effect::HoldAnswer& hold)
{
    if (const auto found = m_runningAttempts.find(hold.attempt); found != m_runningAttempts.end())
        found->second.attempt->hold();
}

void RelayNode::on(const effect::ContinueAnswer& order)
{
    if (const auto found = m_runningAttempts.find(order.attempt); found != m_runningAttempts.end())
        found->second.attempt->continueAnswer();
}

void RelayNode::on(const effect::AskStalledStage& query)
{
    const auto found = m_openCalls.find(query.call);
    if (found == m_openCalls.end())
        return;
    net::co_spawn(m_context.get_executor(), askStalledStage(query, found->second.callId), net::detached);
}

Awaitable<void> RelayNode::askStalledStage(effect::AskStalledStage query, std::string callId)
{
    std::string address = query.address;
    std::string call = callId;
    const TimePoint askedAt = now();
    const StartTime startedAt = startOf(query.server);
    const StalledStage stage = co_await m_engineControl.stalledStage(std::move(address), std::move(call));
    DecisionLog::call("stalled", callId, { { "asked", query.address }, { "stage", stage.address } });
    postNotice(query.server, startedAt, askedAt, stage.notice);
    post(event::StalledStageReported { query.attempt, stage.address });
}

void RelayNode::on(const effect::CheckEngine& check)
{
    net::co_spawn(m_context.get_executor(), checkEngine(check), net::detached);
}

void RelayNode::on(const effect::ReportEngineState& report)
{
    if (m_peers)
        m_peers->shareFinding(report);
}

void RelayNode::on(const effect::ShareCrashes& crashes)
{
    if (m_peers)
        m_peers->shareCrashes(crashes);
}

void RelayNode::on(const effect::ShareSoundRuns& runs)
{
    if (m_peers)
        m_peers->shareSoundRuns(runs);
}

void RelayNode::on(const effect::LogCrash& note)
{
    const CrashSuspect& suspect = note.crash.suspect;
    DecisionLog::state(note.crash.isGroupFailure ? "server_ended_in_group" : "server_ended_under_request",
        { { "request", suspect.traits.front().toHex() }, { "workspace", suspect.workspace().value() },
            { "suspected_parts", textFrom(partsOf(suspect.traits)) },
            { "ran_lately", textFrom(partsOf(suspect.ranLately)) }, { "server_key", hexKey(note.crash.server) },
            { "just_begun", suspect.sign == CrashSign::JustBegun } });
}

void RelayNode::on(const effect::LogSuspectsCleared& note)
{
    DecisionLog::state("crash_suspects_cleared",
        { { "server", note.server.value() }, { "started_ms", note.startedAt.value() }, { "suspects", note.suspects },
            { "proof", toString(note.proof) } });
}

void RelayNode::on(const effect::QuarantineTrait& verdict)
{
    DecisionLog::state("request_quarantined",
        { { nameOf(verdict.trait), verdict.trait.toHex() }, { "workspace", verdict.trait.scope() },
            { "servers", verdict.servers }, { "points", verdict.points }, { "own", verdict.isOwn } });
    if (m_quarantine)
        m_quarantine->quarantine(verdict);
}

void RelayNode::on(const effect::ClearTrait& cleared)
{
    DecisionLog::state("request_cleared",
        { { nameOf(cleared.trait), cleared.trait.toHex() }, { "workspace", cleared.trait.scope() },
            { "cause", toString(cleared.cause) }, { "servers", cleared.servers }, { "points_left", cleared.pointsLeft },
            { "ends_quarantine", cleared.endsQuarantine }, { "own", cleared.isOwn } });
    if (m_quarantine)
        m_quarantine->clear(cleared);
}

void RelayNode::on(const effect::ProbeServer& probe)
{
    net::co_spawn(m_context.get_executor(), probeServer(probe), net::detached);
}

Awaitable<void> RelayNode::probeServer(effect::ProbeServer probe)
{
    std::string address = probe.address;
    std::string path = probe.path;
    const TimePoint askedAt = now();
    const auto pending
        = awaitCheck(ProbeTimeout, [this, probe, askedAt] { recordProbe(probe, ServerIdentity(), askedAt); });
    const ServerIdentity identity
        = co_await m_engineControl.identify(std::move(address), std::move(path), LateAnswerTimeout);
    pending->timer.cancel();
    if (!std::exchange(pending->isSettled, true))
        recordProbe(probe, identity, askedAt);
    else if (findingOf(identity, probe.server) == Finding::Alive)
        recordLateAnswer({ probe.server, identity.startedAt, askedAt, true });
}

void RelayNode::recordProbe(const effect::ProbeServer& probe, const ServerIdentity& identity, TimePoint askedAt)
{
    const Finding finding = findingOf(identity, probe.server);
    DecisionLog::state("server_probed",
        { { "server", probe.server.value() }, { "finding", toString(finding) }, { "said", identity.id.value() } });
    postNotice(probe.server, probe.startedAt, askedAt, identity.notice);
    const StartTime answering = finding == Finding::Alive ? identity.startedAt : StartTime();
    post(event::ServerProbed { probe.server, finding, identity.answer == CheckAnswer::Alive, answering });
}

Awaitable<void> RelayNode::checkEngine(effect::CheckEngine check)
{
    std::string address = check.address;
    const TimePoint askedAt = now();
    const auto pending = awaitCheck(
        CheckTimeout, [this, check, askedAt] { recordCheck(check, EngineReport { CheckAnswer::Silent }, askedAt); });
    const EngineReport report = co_await m_engineControl.check(std::move(address), LateAnswerTimeout);
    pending->timer.cancel();
    if (!std::exchange(pending->isSettled, true))
        recordCheck(check, report, askedAt);
    else if (report.answer == CheckAnswer::Alive)
        recordLateAnswer({ check.engine, report.startedAt, askedAt });
}

std::shared_ptr<RelayNode::PendingCheck> RelayNode::awaitCheck(
    std::chrono::milliseconds timeout, std::function<void()> recordUnanswered)
{
    auto pending = std::make_shared<PendingCheck>(
        PendingCheck { timeout, Timer(m_context.get_executor()), std::move(recordUnanswered) });
    awaitCheckTimeout(pending);
    return pending;
}

void RelayNode::awaitCheckTimeout(const std::shared_ptr<PendingCheck>& pending)
{
    pending->timer.expires_after(pending->timeout);
    pending->timer.async_wait([this, pending](const boost::system::error_code& error) {
        if (error || pending->isSettled)
            return;
        // The answer may wait in the socket of a process that stood still.
        if (std::chrono::steady_clock::now() - pending->timer.expiry() > MaxTimerLateness) {
            awaitCheckTimeout(pending);
            return;
        }
        pending->isSettled = true;
        pending->recordUnanswered();
    });
}

void RelayNode::recordLateAnswer(const event::CheckAnsweredLate& late)
{
    DecisionLog::state("server_answered_late",
        { { "server", late.server.value() }, { "after_ms", toMs(now() - late.askedAt) },
            { "identified", late.isIdentified }, { "started_ms", late.answering.value() } });
    post(late);
}

void RelayNode::recordCheck(const effect::CheckEngine& check, const EngineReport& report, TimePoint askedAt)
{
    const bool answered = report.answer == CheckAnswer::Alive;
    DecisionLog::state("engine_checked",
        { { "engine", check.engine.value() }, { "answered", answered }, { "refused", isRefused(report) },
            { "slowness", answered ? report.slowness : 0 }, { "queued", report.queued },
            { "memory_used", report.memoryUsed }, { "started_ms", report.startedAt.value() },
            { "layers", absl::StrCat(report.layers.begin, "-", report.layers.end) } });
    post(event::EngineChecked { check.engine, answered, report.slowness, isRefused(report), check.startedAt,
        report.startedAt, report.layers, report.queued, report.memoryUsed });
    postNotice(check.engine, report.startedAt.value() ? report.startedAt : check.startedAt, askedAt, report.notice);
}

void RelayNode::postNotice(const BackendId& server, StartTime startedAt, TimePoint askedAt, const ServerNotice& notice)
{
    if (notice.hasContent())
        post(event::ServerNoticeSeen { server, startedAt, askedAt, notice });
}

StartTime RelayNode::startOf(const BackendId& id) const
{
    const auto& servers = m_reducer.fleet().servers();
    const auto server = servers.find(id);
    return server == servers.end() ? StartTime() : server->second.entry.startedAt;
}

void RelayNode::on(const effect::LogServerState& note)
{
    DecisionLog::state(toString(note.belief),
        { { "server", note.server.value() }, { "started_ms", note.startedAt.value() },
            { "server_key", hexKey(engineKey(note.server, note.startedAt)) } });
}

void RelayNode::on(const effect::LogServerPath& note)
{
    const PathEvidence& evidence = note.evidence;
    DecisionLog::state("server_path",
        { { "before", toString(note.before) }, { "now", toString(note.now) }, { "failed", evidence.failed },
            { "failed_here_only", evidence.failedHereOnly }, { "failing_ms", toMs(evidence.failingFor) },
            { "contacts", evidence.contacts }, { "answered", evidence.answered },
            { "answering_servers", evidence.answeringServers } });
}

void RelayNode::on(const effect::LogServerLimit& note)
{
    boost::json::object fields { { "server", note.server.value() }, { "named", note.perSecond.has_value() } };
    if (note.perSecond)
        fields["per_second"] = *note.perSecond;
    DecisionLog::state("server_limit", fields);
}

void RelayNode::on(const effect::LogServerBackoff& note)
{
    DecisionLog::state("server_backoff",
        { { "server", note.server.value() }, { "retry_after_ms", toMs(note.retryAfter) },
            { "remaining_ms", toMs(note.remaining) } });
}

void RelayNode::on(const effect::LogRetryShare& note)
{
    DecisionLog::state("retry_share",
        { { "capacity", note.capacity }, { "granted", note.isGranted }, { "instances", note.instances },
            { "age_ms", toMs(note.age) } });
}

void RelayNode::on(const effect::LogRetryBudget& note)
{
    DecisionLog::state("retry_budget",
        { { "service", note.service }, { "spent", note.spent }, { "spent_in_total", note.spentInTotal },
            { "tokens", note.tokens }, { "capacity", note.capacity }, { "instances", note.instances },
            { "age_ms", toMs(note.age) } });
}

void RelayNode::on(const effect::LogPermits& note)
{
    DecisionLog::state("permits",
        { { "server", note.server.value() }, { "granted", note.granted },
            { "retry_after_ms", toMs(note.retryAfter) } });
}

void RelayNode::on(const effect::RequestPermits& request)
{
    if (m_peers)
        m_peers->requestPermits(request);
    else
        post(event::PermitsRequested { request.request });
}

void RelayNode::on(const effect::AnswerPermits& answer)
{
    if (m_peers)
        m_peers->answerPermits(answer);
    else
        post(event::PermitsAnswered { answer.answer });
}

void RelayNode::on(const effect::ShareServerLimit& limit)
{
    if (m_peers)
        m_peers->shareServerLimit(limit);
}

Awaitable<void> RelayNode::sendReroute(effect::RerouteAttempt order, std::string callId)
{
    std::string address = order.address;
    std::string call = callId;
    const BackendId first = order.chain.hops().front().backend;
    const TimePoint askedAt = now();
    const StartTime startedAt = startOf(first);
    const OrderReply reply = co_await m_engineControl.reroute(std::move(address), std::move(call), order.chain);
    DecisionLog::call("reroute", callId,
        { { "chain", chainText(order.chain) }, { "accepted", reply.isAccepted() }, { "status", reply.status },
            { "culprit", reply.culprit } });
    if (const auto running = m_runningAttempts.find(order.attempt);
        reply.isAccepted() && running != m_runningAttempts.end())
        running->second.chain = order.chain;
    post(event::RerouteAnswered { order.attempt, reply.isAccepted(), reply.culprit, reply.status });
    post(event::EngineStartSeen { first, reply.startedAt });
    postNotice(first, reply.startedAt.value() ? reply.startedAt : startedAt, askedAt, reply.notice);
}

void RelayNode::on(const effect::Refuse& refusal)
{
    const auto found = m_openCalls.find(refusal.call);
    if (found == m_openCalls.end())
        return;
    boost::json::object fields { { "reason", toString(refusal.reason) }, { "run", toString(refusal.run) },
        { "retry_after_ms", toMs(refusal.retryAfter) }, { "limit", limitText(refusal.limit) } };
    if (refusal.quarantinedTrait) {
        fields["quarantined"] = refusal.quarantinedTrait->toHex();
        fields["crashed_servers"] = refusal.crashedServers;
    }
    recordAnswer(found->second, "refused", std::move(fields));
    found->second.pipe->refuse(refusal);
    m_openCalls.erase(found);
}

void RelayNode::on(const effect::DeliverServerFailure& failure)
{
    const auto found = m_openCalls.find(failure.call);
    if (found == m_openCalls.end())
        return;
    recordAnswer(found->second, "server_failure");
    found->second.pipe->deliverKeptFailure();
    m_openCalls.erase(found);
}

void RelayNode::on(const effect::CompleteAnswer& complete)
{
    const auto found = m_openCalls.find(complete.call);
    if (found == m_openCalls.end())
        return;
    recordAnswer(found->second, "completed");
    found->second.pipe->end();
    m_openCalls.erase(found);
}

void RelayNode::on(const effect::LogEndVerdict& note)
{
    if (const auto found = m_openCalls.find(note.call); found != m_openCalls.end())
        DecisionLog::call("answer_end_verdict", found->second.callId,
            { { "server", note.server.value() }, { "verdict", toString(note.verdict) },
                { "proof", toString(note.proof) } });
}

void RelayNode::on(const effect::BreakAnswer& broken)
{
    const auto found = m_openCalls.find(broken.call);
    if (found == m_openCalls.end())
        return;
    recordAnswer(
        found->second, "broken_off", { { "reason", toString(broken.reason) }, { "limit", limitText(broken.limit) } });
    found->second.pipe->breakOff();
    m_openCalls.erase(found);
}

void RelayNode::recordAnswer(const OpenCall& call, std::string_view outcome, boost::json::object fields)
{
    fields["outcome"] = outcome;
    fields["request"] = call.digest;
    fields["parts"] = call.promptParts;
    const Duration total = now() - call.arrivedAt;
    (outcome == "completed" ? m_latencies.completed : m_latencies.refused).observe(total);
    if (call.firstEventAt) {
        m_latencies.firstEvent.observe(*call.firstEventAt - call.arrivedAt);
        m_latencies.longestGap.observe(call.longestGap);
        fields["first_event_ms"] = toMs(*call.firstEventAt - call.arrivedAt);
        fields["longest_gap_ms"] = toMs(call.longestGap);
        fields["events"] = call.eventCount;
    }
    fields["total_ms"] = toMs(total);
    if (m_reducer.routes())
        fields["configuration"] = m_reducer.routes()->configuration().version;
    DecisionLog::call("answer", call.callId, fields);
}

} // namespace crocusmount::relay
