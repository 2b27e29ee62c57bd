#include "edge/RelayNode.h"

#include "edge/DecisionLog.h"
#include "edge/PeerSink.h"
#include "edge/QuarantineSink.h"
#include "edge/RequestDigest.h"

#include <absl/strings/str_cat.h>
#include <random>

namespace crocusmount::relay {

namespace {

    /// Granularity of waits, stalls and deadlines.
    constexpr std::chrono::milliseconds BusyTick { 20 };
    /// The same with no call open, when nothing can be due.
    constexpr std::chrono::milliseconds IdleTick { 200 };
    /// In logs, the time since an answer began that never did.
    constexpr std::int64_t NotBegun = -1;

    std::string chainText(const Chain& chain)
    {
        std::string text;
        for (const Hop& hop : chain.hops()) {
            text += (text.empty() ? "" : ",") + hop.backend.value() + "=" + std::to_string(hop.layers.begin) + "-"
                + std::to_string(hop.layers.end);
        }
        return text;
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

    Finding findingOf(const ServerIdentity& identity, const BackendId& asked)
    {
        if (identity.answer == CheckAnswer::Refused)
            return Finding::Ended;
        if (identity.answer == CheckAnswer::Silent || identity.id.value().empty())
            return Finding::Unknown;
        return identity.id == asked ? Finding::Alive : Finding::Ended;
    }

    bool isRefused(const EngineReport& report) { return report.answer == CheckAnswer::Refused; }

    const char* toString(effect::NoteBelief::Belief belief)
    {
        using Belief = effect::NoteBelief::Belief;
        switch (belief) {
        case Belief::ProcessEnded:
            return "server_ended";
        case Belief::StartEnded:
            return "server_start_ended";
        case Belief::EntryOutdated:
            return "server_entry_outdated";
        case Belief::EntryUnusable:
            return "server_entry_unusable";
        case Belief::Reinstated:
            return "server_reinstated";
        case Belief::ReportedDead:
            return "engine_reported_dead";
        case Belief::Closed:
            return "engine_closed";
        case Belief::ReportedClosed:
            return "engine_reported_closed";
        }
        return "belief";
    }

    std::string keyText(std::uint64_t key) { return absl::StrCat(absl::Hex(key, absl::kZeroPad16)); }

    std::int64_t toMs(Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    }

} // namespace

RelayNode::RelayNode(net::io_context& context, RelayOptions options, HeaderNames names, EngineControl& control)
    : m_context(context)
    , m_names(std::move(names))
    , m_control(control)
    , m_reducer(std::move(options))
    , m_random(std::random_device {}())
    , m_tick(context.get_executor())
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
        m_tick.expires_after(m_reducer.openCalls() ? BusyTick : IdleTick);
        const auto [error] = co_await m_tick.async_wait(net::as_tuple(useAwaitable));
        (void)error; // Woken early by the first call: the tick only comes sooner.
        post(event::Tick {});
    }
}

RelayNode::OpenCall RelayNode::open(std::shared_ptr<const CallerRequest> request, CallSpec spec)
{
    const RequestId id(m_nextCall++);
    spec.content = digestOf(*request, spec.host);
    auto pipe = std::make_shared<AnswerPipe>(m_context);
    m_open[id] = { spec.name, spec.content.toText(), std::move(request), pipe, now(), std::nullopt, std::nullopt,
        Duration(0), 0 };
    if (!m_reducer.openCalls())
        m_tick.cancel();
    post(event::CallArrived { id, std::move(spec) });
    return { id, std::move(pipe) };
}

void RelayNode::callerLeft(RequestId id)
{
    const auto found = m_open.find(id);
    if (found == m_open.end())
        return;
    noteAnswer(found->second, "caller_left");
    m_open.erase(found);
    post(event::CallerLeft { id });
}

void RelayNode::post(RelayEventBody body)
{
    m_events.push_back(std::move(body));
    if (m_reducing)
        return;
    m_reducing = true;
    while (!m_events.empty()) {
        RelayEvent event { now(), entropy(), std::move(m_events.front()) };
        m_events.pop_front();
        RelayEffects effects;
        if (const auto* ended = std::get_if<event::AttemptEnded>(&event.body))
            noteEnd(*ended);
        if (const auto* begun = std::get_if<event::AnswerBegun>(&event.body))
            noteBegun(*begun);
        if (const auto* delivered = std::get_if<event::EventDelivered>(&event.body))
            noteEvent(*delivered);
        m_reducer.reduce(event, effects);
        apply(effects);
    }
    m_reducing = false;
}

void RelayNode::noteBegun(const event::AnswerBegun& begun)
{
    if (const auto running = m_attempts.find(begun.attempt); running != m_attempts.end())
        running->second.begun = now();
}

void RelayNode::noteEvent(const event::EventDelivered& delivered)
{
    const auto running = m_attempts.find(delivered.attempt);
    const auto open = running == m_attempts.end() ? m_open.end() : m_open.find(running->second.call);
    if (open == m_open.end())
        return;
    Open& call = open->second;
    const TimePoint at = now();
    if (call.lastEvent)
        call.longestGap = std::max(call.longestGap, at - *call.lastEvent);
    else
        call.firstEvent = at;
    call.lastEvent = at;
    ++call.events;
}

void RelayNode::noteEnd(const event::AttemptEnded& ended)
{
    const auto running = m_attempts.find(ended.attempt);
    if (running == m_attempts.end())
        return;
    const Running attempt = running->second;
    const RequestId call = attempt.call;
    m_attempts.erase(running);
    const auto open = m_open.find(call);
    if (open == m_open.end())
        return;
    if (ended.result == AttemptResult::Completed) {
        noteAnswer(open->second, "completed", { { "status", ended.status } });
        m_open.erase(open);
        return;
    }
    DecisionLog::call("attempt_failed", open->second.name,
        { { "result", toString(ended.result) }, { "status", ended.status }, { "culprit", ended.culprit },
            { "server", attempt.server.value() }, { "chain", chainText(attempt.chain) },
            { "request", open->second.content }, { "sent_ms", toMs(now() - attempt.started) },
            { "begun_ms", attempt.begun ? toMs(now() - *attempt.begun) : NotBegun } });
}

void RelayNode::apply(const RelayEffects& effects)
{
    for (const RelayEffect& effect : effects)
        std::visit([this](const auto& body) { on(body); }, effect);
}

void RelayNode::on(const effect::StartAttempt& start)
{
    const auto found = m_open.find(start.call);
    if (found == m_open.end())
        return;
    DecisionLog::call("attempt", found->second.name,
        { { "route", start.route }, { "workspace", start.workspace }, { "server", start.server.value() },
            { "request", found->second.content }, { "purpose", toString(start.purpose) }, { "address", start.address },
            { "chain", chainText(start.chain) }, { "remaining_ms", toMs(start.remaining) },
            { "resume_after", start.resumeAfter.value_or(0) }, { "waited_ms", toMs(now() - found->second.arrived) } });
    auto attempt = std::make_shared<UpstreamAttempt>(m_context, m_names, start, found->second.request,
        found->second.pipe, [this](RelayEventBody body) { post(std::move(body)); });
    m_attempts[start.attempt] = { start.call, attempt, start.server, start.chain, now(), std::nullopt };
    attempt->start();
}

void RelayNode::on(const effect::CancelAttempt& cancel)
{
    const auto found = m_attempts.find(cancel.attempt);
    if (found == m_attempts.end())
        return;
    noteCancelled(found->second, cancel.cause);
    found->second.attempt->cancel();
    m_attempts.erase(found);
}

void RelayNode::noteCancelled(const Running& attempt, CancelCause cause)
{
    if (const auto open = m_open.find(attempt.call); open != m_open.end()) {
        DecisionLog::call("attempt_cancelled", open->second.name,
            { { "cause", toString(cause) }, { "server", attempt.server.value() },
                { "chain", chainText(attempt.chain) } });
    }
}

void RelayNode::on(const effect::HoldAnswer& hold)
{
    if (const auto found = m_attempts.find(hold.attempt); found != m_attempts.end())
        found->second.attempt->hold();
}

void RelayNode::on(const effect::ContinueAnswer& released)
{
    if (const auto found = m_attempts.find(released.attempt); found != m_attempts.end())
        found->second.attempt->continueAnswer();
}

void RelayNode::on(const effect::AskStalledStage& question)
{
    const auto found = m_open.find(question.call);
    if (found == m_open.end())
        return;
    net::co_spawn(m_context.get_executor(), askStalledStage(question, found->second.name), net::detached);
}

Awaitable<void> RelayNode::askStalledStage(effect::AskStalledStage question, std::string name)
{
    std::string address = question.address;
    std::string call = name;
    const std::string stage = co_await m_control.stalledStage(std::move(address), std::move(call));
    DecisionLog::call("stalled", name, { { "asked", question.address }, { "stage", stage } });
    post(event::StalledStageNamed { question.attempt, stage });
}

void RelayNode::on(const effect::CheckEngine& check)
{
    net::co_spawn(m_context.get_executor(), checkEngine(check), net::detached);
}

void RelayNode::on(const effect::ShareFinding& report)
{
    if (m_peers)
        m_peers->shareFinding(report);
}

void RelayNode::on(const effect::ShareCrashes& crashes)
{
    if (m_peers)
        m_peers->shareCrashes(crashes);
}

void RelayNode::on(const effect::ShareSoundRequest& sound)
{
    if (m_peers)
        m_peers->shareSoundRequest(sound);
}

void RelayNode::on(const effect::NoteCrash& note)
{
    const CrashSuspect& suspect = note.crash.suspect;
    DecisionLog::state(note.counts ? "server_ended_under_request" : "server_ended_in_group",
        { { "request", suspect.request.content.toText() }, { "workspace", suspect.request.workspace.value() },
            { "server_key", keyText(note.crash.server) }, { "just_begun", suspect.sign == CrashSign::JustBegun } });
}

void RelayNode::on(const effect::QuarantineRequest& verdict)
{
    DecisionLog::state("request_quarantined",
        { { "request", verdict.request.content.toText() }, { "workspace", verdict.request.workspace.value() },
            { "servers", verdict.servers }, { "points", verdict.points }, { "own", verdict.isOwn } });
    if (m_quarantine)
        m_quarantine->quarantine(verdict);
}

void RelayNode::on(const effect::ClearRequest& cleared)
{
    DecisionLog::state("request_cleared",
        { { "request", cleared.request.content.toText() }, { "workspace", cleared.request.workspace.value() },
            { "was_quarantined", cleared.wasQuarantined } });
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
    const ServerIdentity identity = co_await m_control.identify(std::move(address), std::move(path));
    const Finding finding = findingOf(identity, probe.server);
    DecisionLog::state("server_probed",
        { { "server", probe.server.value() }, { "finding", toString(finding) }, { "said", identity.id.value() } });
    post(event::ServerProbed { probe.server, finding });
}

Awaitable<void> RelayNode::checkEngine(effect::CheckEngine check)
{
    std::string address = check.address;
    const EngineReport report = co_await m_control.check(std::move(address));
    const bool answered = report.answer == CheckAnswer::Alive;
    DecisionLog::state("engine_checked",
        { { "engine", check.engine.value() }, { "answered", answered }, { "refused", isRefused(report) },
            { "slowness", answered ? report.slowness : 0 }, { "queued", report.queued },
            { "memory_used", report.memoryUsed }, { "started_ms", report.startedAt.value() } });
    post(event::EngineChecked { check.engine, answered, report.slowness, isRefused(report), check.startedAt,
        report.startedAt, report.layers, report.queued, report.memoryUsed });
}

void RelayNode::on(const effect::NoteBelief& note)
{
    DecisionLog::state(toString(note.belief),
        { { "server", note.server.value() }, { "started_ms", note.startedAt.value() },
            { "server_key", keyText(engineKey(note.server, note.startedAt)) } });
}

void RelayNode::on(const effect::RerouteAttempt& order)
{
    const auto found = m_open.find(order.call);
    if (found == m_open.end())
        return;
    net::co_spawn(m_context.get_executor(), giveReroute(order, found->second.name), net::detached);
}

Awaitable<void> RelayNode::giveReroute(effect::RerouteAttempt order, std::string name)
{
    std::string address = order.address;
    std::string call = name;
    const OrderReply reply = co_await m_control.reroute(std::move(address), std::move(call), order.chain);
    DecisionLog::call("reroute", name,
        { { "chain", chainText(order.chain) }, { "accepted", reply.isAccepted() }, { "status", reply.status },
            { "culprit", reply.culprit } });
    if (const auto running = m_attempts.find(order.attempt); reply.isAccepted() && running != m_attempts.end())
        running->second.chain = order.chain;
    post(event::RerouteAnswered { order.attempt, reply.isAccepted(), reply.culprit });
    post(event::EngineStartSeen { order.chain.hops().front().backend, reply.startedAt });
}

void RelayNode::on(const effect::Refuse& refusal)
{
    const auto found = m_open.find(refusal.call);
    if (found == m_open.end())
        return;
    noteAnswer(found->second, "refused",
        { { "reason", toString(refusal.reason) }, { "run", toString(refusal.run) },
            { "retry_after_ms", toMs(refusal.retryAfter) }, { "limit", limitText(refusal.limit) } });
    found->second.pipe->refuse(refusal);
    m_open.erase(found);
}

void RelayNode::on(const effect::DeliverServerFailure& failure)
{
    const auto found = m_open.find(failure.call);
    if (found == m_open.end())
        return;
    noteAnswer(found->second, "server_failure");
    found->second.pipe->deliverHeld();
    m_open.erase(found);
}

void RelayNode::on(const effect::BreakAnswer& broken)
{
    const auto found = m_open.find(broken.call);
    if (found == m_open.end())
        return;
    noteAnswer(
        found->second, "broken_off", { { "reason", toString(broken.reason) }, { "limit", limitText(broken.limit) } });
    found->second.pipe->breakOff();
    m_open.erase(found);
}

void RelayNode::noteAnswer(const Open& open, std::string_view outcome, boost::json::object inputs)
{
    inputs["outcome"] = outcome;
    inputs["request"] = open.content;
    const Duration total = now() - open.arrived;
    (outcome == "completed" ? m_latencies.completed : m_latencies.refused).observe(total);
    if (open.firstEvent) {
        m_latencies.firstEvent.observe(*open.firstEvent - open.arrived);
        m_latencies.longestGap.observe(open.longestGap);
        inputs["first_event_ms"] = toMs(*open.firstEvent - open.arrived);
        inputs["longest_gap_ms"] = toMs(open.longestGap);
        inputs["events"] = open.events;
    }
    inputs["total_ms"] = toMs(total);
    if (m_reducer.routes())
        inputs["configuration"] = m_reducer.routes()->configuration().version;
    DecisionLog::call("answer", open.name, inputs);
}

} // namespace crocusmount::relay
