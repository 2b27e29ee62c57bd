#include "tests/LossFleet.h"

#include "tests/RelayHarness.h"

#include <algorithm>
#include <cstring>

namespace crocusmount::relay {

namespace {

    using std::chrono::milliseconds;

    constexpr Duration TickInterval = milliseconds(20);
    constexpr Duration LoadInterval = milliseconds(150);
    constexpr Duration NetworkDelay = milliseconds(1);
    constexpr Duration CheckTimeout = milliseconds(80);
    constexpr Duration OrderTimeout = milliseconds(400);
    /// A new connection takes an engine this long.
    constexpr Duration ConnectionTime = milliseconds(1);
    constexpr Duration ReadingTime = milliseconds(60);
    constexpr Duration AllowedPause = milliseconds(250);
    constexpr std::uint32_t Layers = 8;
    constexpr unsigned Conflict = 409;

} // namespace

LossFleet::LossFleet(Options options)
    : m_options(std::move(options))
    , m_randomState(m_options.seed)
{
    for (std::size_t i = 0; i < Engines; ++i) {
        const auto layer = static_cast<std::uint32_t>(i % Layers);
        RegisteredServer entry = RelayHarness::engine("e" + std::to_string(i), layer, layer + 1);
        entry.address = entry.id.value() + ".example:80";
        entry.slots = 192;
        m_ids.push_back(entry.id);
        m_engines[entry.id].entry = entry;
    }
    for (std::size_t i = 0; i < m_options.instances; ++i) {
        RelayOptions relay;
        relay.without = m_options.without;
        relay.dataCentre = DataCentreId("z");
        m_instances.push_back(std::make_unique<RelayReducer>(relay));
        post(i, event::ConfigurationAccepted { RouteTable::make(RelayHarness::configuration()) });
        post(i, event::InstancesCounted { static_cast<std::uint32_t>(m_options.instances) });
        for (const auto& [id, engine] : m_engines)
            post(i, event::ServerRegistered { engine.entry });
        at(TickInterval * i / m_options.instances, [this, i] { tick(i); });
    }
    at(Duration(0), [this] { exchangeLoads(); });
    for (std::size_t i = 0; i < m_options.streams; ++i) {
        at(milliseconds(400) * i / m_options.streams, [this, i] {
            const RequestId id(i + 1);
            CallSpec spec;
            spec.host = "h.example";
            spec.path = "/draft/1";
            spec.key = "key";
            spec.callerTimeout = std::chrono::seconds(20);
            spec.promptTokens = 100;
            spec.maxAnswerTokens = 50;
            std::memcpy(spec.content.bytes.data(), &i, sizeof(i));
            m_streams[id].instance = i % m_options.instances;
            m_streams[id].gap = milliseconds(35 + static_cast<int>(35 * random()));
            post(i % m_options.instances, event::CallArrived { id, spec });
        });
    }
}

double LossFleet::random()
{
    m_randomState = m_randomState * 6364136223846793005ULL + 1442695040888963407ULL;
    return static_cast<double>(m_randomState >> 11U) / 9007199254740992.0; // 2^53
}

void LossFleet::run(Duration span)
{
    const TimePoint end = m_now + span;
    while (!m_actions.empty() && m_actions.begin()->first <= end) {
        auto next = m_actions.extract(m_actions.begin());
        m_now = next.key();
        next.mapped()();
    }
    m_now = end;
}

void LossFleet::countFromNow()
{
    m_countedFrom = m_now;
    m_moved.clear();
}

void LossFleet::lose(std::size_t engine) { m_engines.at(m_ids.at(engine)).silentFrom = m_now; }

void LossFleet::pause(std::size_t engine, Duration span)
{
    lose(engine);
    m_engines.at(m_ids.at(engine)).silentUntil = m_now + span;
}

bool LossFleet::isSilent(const BackendId& id) const
{
    const Engine& engine = m_engines.at(id);
    return m_now >= engine.silentFrom && m_now < engine.silentUntil;
}

const Hop* LossFleet::silentHop(const Chain& chain) const
{
    const auto found
        = std::find_if(chain.hops().begin(), chain.hops().end(), [&](const Hop& hop) { return isSilent(hop.backend); });
    return found == chain.hops().end() ? nullptr : &*found;
}

void LossFleet::post(std::size_t instance, RelayEventBody body)
{
    RelayEffects effects;
    const auto entropy = static_cast<std::uint64_t>(random() * 1e18);
    m_instances[instance]->reduce({ m_now, entropy, std::move(body) }, effects);
    apply(instance, effects);
}

void LossFleet::apply(std::size_t instance, const RelayEffects& effects)
{
    for (const RelayEffect& effect : effects) {
        if (const auto* started = std::get_if<effect::StartAttempt>(&effect))
            start(instance, *started);
        else if (const auto* order = std::get_if<effect::RerouteAttempt>(&effect))
            reroute(instance, *order);
        else if (const auto* checked = std::get_if<effect::CheckEngine>(&effect))
            check(instance, *checked);
        else if (const auto* found = std::get_if<effect::ReportEngineState>(&effect))
            report(instance, *found);
        else if (const auto* query = std::get_if<effect::AskStalledStage>(&effect))
            at(CheckTimeout, [this, instance, attempt = query->attempt] {
                post(instance, event::StalledStageReported { attempt, {} });
            });
    }
}

void LossFleet::start(std::size_t instance, const effect::StartAttempt& started)
{
    if (started.resumeAfter)
        m_moved.insert(started.call);
    at(ReadingTime, [this, instance, started] {
        if (silentHop(started.chain))
            return;
        post(instance, event::AttemptSent { started.attempt });
        post(instance, event::AnswerBegun { started.attempt });
        Stream& stream = m_streams.at(started.call);
        stream.attempt = started.attempt;
        stream.chain = started.chain;
        sendEvent(started.call, started.attempt);
    });
}

void LossFleet::sendEvent(RequestId id, AttemptId attempt)
{
    Stream& stream = m_streams.at(id);
    if (stream.attempt != attempt)
        return; // Another attempt has taken over.
    if (!silentHop(stream.chain)) {
        if (stream.lastEventId && m_now >= m_countedFrom)
            stream.longestPause = std::max(stream.longestPause, m_now - stream.lastEvent);
        stream.lastEvent = m_now;
        post(stream.instance, event::EventDelivered { attempt, ++stream.lastEventId });
    }
    at(stream.gap, [this, id, attempt] { sendEvent(id, attempt); });
}

void LossFleet::reroute(std::size_t instance, const effect::RerouteAttempt& order)
{
    m_moved.insert(order.call);
    if (isSilent(order.chain.hops().front().backend)) {
        at(OrderTimeout, [this, instance, order] { post(instance, event::RerouteAnswered { order.attempt, false }); });
        return;
    }
    at(2 * NetworkDelay, [this, instance, order] {
        if (const Hop* missing = silentHop(order.chain)) {
            post(instance, event::RerouteAnswered { order.attempt, false, missing->address, Conflict });
            return;
        }
        Stream& stream = m_streams.at(order.call);
        // The new stages read the prompt before the next event.
        if (stream.attempt == order.attempt) {
            stream.attempt = AttemptId();
            at(ReadingTime, [this, order] {
                Stream& moved = m_streams.at(order.call);
                if (moved.attempt != AttemptId())
                    return; // Another attempt has taken over.
                moved.attempt = order.attempt;
                moved.chain = order.chain;
                sendEvent(order.call, order.attempt);
            });
        }
        post(instance, event::RerouteAnswered { order.attempt, true, {}, 200 });
    });
}

void LossFleet::check(std::size_t instance, const effect::CheckEngine& check)
{
    ++m_checks;
    Engine& engine = m_engines.at(check.engine);
    std::deque<TimePoint>& times = engine.checkedAt;
    times.push_back(m_now);
    while (times.front() + CheckTimeout <= m_now)
        times.pop_front();
    const Duration answerTime = 2 * NetworkDelay + ConnectionTime * times.size();
    const bool isAnswered = !isSilent(check.engine) && answerTime <= CheckTimeout;
    if (engine.silentFrom == TimePoint::max())
        m_mostChecks = std::max(m_mostChecks, times.size());
    event::EngineChecked checked { check.engine, isAnswered, 1, false, check.startedAt };
    checked.layers = engine.entry.layers;
    at(isAnswered ? answerTime : CheckTimeout, [this, instance, checked] { post(instance, checked); });
}

void LossFleet::report(std::size_t instance, const effect::ReportEngineState& found)
{
    m_falseReports += m_engines.at(found.engine).silentFrom == TimePoint::max() ? 1 : 0;
    if (instance < m_options.deafInstances || found.finding != effect::ReportEngineState::Finding::Dead)
        return;
    const std::uint64_t key = engineKey(found.engine, found.startedAt);
    for (std::size_t other = 0; other < m_instances.size(); ++other) {
        if (other != instance)
            at(NetworkDelay, [this, other, key] { post(other, event::EnginesReportedDead { { key } }); });
    }
}

void LossFleet::exchangeLoads()
{
    EngineLoads total;
    const auto add = [&](EngineLoads& sum, const EngineLoad& load, double sign) {
        EngineLoad& each = sum[load.engine];
        each.engine = load.engine;
        each.tokenLayers += sign * load.tokenLayers;
        each.calls += sign * load.calls;
        each.avoiders += sign * load.avoiders;
        each.contacts += sign * load.contacts;
    };
    for (const auto& instance : m_instances) {
        for (const EngineLoad& load : instance->ownLoads(m_now))
            add(total, load, 1);
    }
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        EngineLoads others = total;
        for (const EngineLoad& load : m_instances[i]->ownLoads(m_now))
            add(others, load, -1);
        at(LoadInterval * i / m_instances.size(),
            [this, i, others = std::move(others)] { post(i, event::LoadsReported { others }); });
    }
    at(LoadInterval, [this] { exchangeLoads(); });
}

void LossFleet::tick(std::size_t instance)
{
    post(instance, event::Tick {});
    at(TickInterval, [this, instance] { tick(instance); });
}

std::size_t LossFleet::lateStreams() const
{
    return static_cast<std::size_t>(std::count_if(m_streams.begin(), m_streams.end(), [&](const auto& each) {
        const Stream& stream = each.second;
        const Duration pause = std::max(stream.longestPause, m_now - stream.lastEvent);
        return stream.lastEventId && pause > AllowedPause;
    }));
}

std::uint64_t LossFleet::refusedReroutes() const
{
    std::uint64_t refused = 0;
    for (const auto& instance : m_instances)
        refused += instance->counters().reroutesRefused;
    return refused;
}

} // namespace crocusmount::relay
